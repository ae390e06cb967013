/** Builds bundles of any size for the probes. */
import {
  checkBundle,
  hashKey,
  indexBundle,
  type Bundle,
  type BundleIndex,
} from "@stairgauge/bundle";

const MODEL_COUNT = 7;
const HEAD = { version: 1, digest: "0".repeat(64), proposer: "p", approvals: [] };

/** Number of workspaces and engines of a bundle. */
export type BundleSize = Readonly<{ workspaces: number; engines: number }>;

const toAddress = (i: number) => `10.${i >> 16}.${(i >> 8) & 255}.${i & 255}:9000`;

/** Builds the content of a bundle, not yet validated. */
export const buildContent = ({ workspaces, engines }: BundleSize): unknown => ({
  tiers: [
    { name: "gold", rank: 0 },
    { name: "silver", rank: 1 },
    { name: "bronze", rank: 2 },
  ],
  models: Array.from({ length: MODEL_COUNT }, (_, i) => ({
    name: `model-${i}`,
    contextTokens: 16_000,
    maxOutputTokens: 8_000,
  })),
  workspaces: Array.from({ length: workspaces }, (_, i) => ({
    name: `workspace-${i}`,
    tier: ["gold", "silver", "bronze"][i % 3],
    keyHashes: [hashKey(`key-${i}`)],
    models: [`model-${i % MODEL_COUNT}`],
  })),
  backendServers: Array.from({ length: engines }, (_, i) => ({
    kind: "engine",
    name: `engine-${i}`,
    address: toAddress(i),
    dataHall: `hall-${i % MODEL_COUNT}`,
    serves: Array.from({ length: MODEL_COUNT }, (_, m) => `model-${m}`),
    memoryTokens: 1_000_000,
    maxRunning: 256,
  })),
});

/** Validates the content; throws if it is invalid, which only a fault in `buildContent` can cause. */
export const toBundle = (content: unknown): Bundle => {
  const bundle = checkBundle(content);
  if (bundle.err) throw new TypeError(JSON.stringify(bundle.val));
  return bundle.val;
};

/** Builds an index of the given size. */
export const buildIndex = (size: BundleSize): BundleIndex =>
  indexBundle({ head: HEAD, bundle: toBundle(buildContent(size)) });
