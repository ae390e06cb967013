/** The example site: its bundle, the operators' sign-off, and the profile of its stand-in engines. */
import {
  createHash,
  createPrivateKey,
  createPublicKey,
  type KeyObject,
} from "node:crypto";
import {
  checkBundle,
  computeDigest,
  hashKey,
  renderCanonical,
  signDigest,
  type Bundle,
  type BundleHead,
  type TrustedOperator,
} from "@stairgauge/bundle";
import { encodeHead, HEAD_ROW, toObjectName } from "@stairgauge/rollout";
import type { EngineProfile } from "./engineTypes.js";
import type { PlatformModel } from "./platformModel.js";

/** API key of the example workspace. It is public, so it must not be used elsewhere. */
export const EXAMPLE_KEY = "sg-example-kerlann-key";

/** API key of a second workspace, for tests that one workspace can't access another's data. */
export const OTHER_EXAMPLE_KEY = "sg-example-other-key";

/** Profile of the example's engines; their memory is small so that it fills during a demonstration. */
export const EXAMPLE_ENGINE: EngineProfile = {
  memoryTokens: 24_000,
  maxRunning: 32,
  stepBaseMs: 12,
  stepPerStreamMs: 0.25,
  prefillPerTokenMs: 0.05,
  prefillChunkTokens: 1_024,
  prefixCacheTokens: 4_096,
};

/** Addresses of the example's backend servers, IP:PORT. */
export type ExampleAddresses = Readonly<{
  engines: readonly string[];
  services: readonly string[];
  /** Whether the bundle lists engines with the large capacity that benchmarks need. */
  isRoomy?: boolean;
}>;

const ROOMY_ENGINE = { memoryTokens: 100_000_000, maxRunning: 10_000 };

/** Builds the example bundle for stand-ins at the given addresses. */
export const buildExampleBundle = (addresses: ExampleAddresses): Bundle => {
  const halls = ["rennes-a", "rennes-b", "brest", "lorient"];
  const engineSize = addresses.isRoomy ? ROOMY_ENGINE : EXAMPLE_ENGINE;
  const toHall = (index: number) => halls[index % halls.length];
  const result = checkBundle({
    tiers: [
      { name: "gold", rank: 0, weight: 4, firstTokenDeadlineMs: 5_000 },
      { name: "silver", rank: 1, weight: 2, firstTokenDeadlineMs: 10_000 },
      { name: "bronze", rank: 2, weight: 1, firstTokenDeadlineMs: 30_000 },
    ],
    models: [
      {
        name: "redac-llm",
        contextTokens: 16_000,
        maxOutputTokens: 8_000,
        adapters: ["annonces"],
      },
    ],
    services: [
      {
        name: "annonces-api",
        routes: [
          { method: "GET", path: "/search", repeatable: "always" },
          { method: "POST", path: "/contact", repeatable: "once" },
          { method: "POST", path: "/echo", repeatable: "always" },
        ],
      },
    ],
    workspaces: [
      {
        name: "kerlann",
        tier: "gold",
        keyHashes: [hashKey(EXAMPLE_KEY)],
        models: ["redac-llm"],
        adapters: ["annonces"],
        services: ["annonces-api"],
        limits: { concurrentStreams: 2_000, queuedRequests: 2_000 },
      },
      {
        name: "other",
        tier: "bronze",
        keyHashes: [hashKey(OTHER_EXAMPLE_KEY)],
        models: ["redac-llm"],
      },
    ],
    backendServers: [
      ...addresses.engines.map((address, index) => ({
        kind: "engine",
        name: `engine-${index + 1}`,
        address,
        dataHall: toHall(index),
        serves: ["redac-llm"],
        memoryTokens: engineSize.memoryTokens,
        maxRunning: engineSize.maxRunning,
        checksOrders: index === 0,
      })),
      ...addresses.services.map((address, index) => ({
        kind: "service",
        name: `annonces-${index + 1}`,
        address,
        dataHall: toHall(index),
        serves: ["annonces-api"],
      })),
    ],
  });
  if (result.err)
    throw new TypeError(`the example bundle is wrong: ${JSON.stringify(result.val)}`);
  return result.val;
};

/** A signed bundle head, the bundle's content, and the operators who signed it. */
export type SignedBundle = Readonly<{
  head: BundleHead;
  content: string;
  trusted: readonly TrustedOperator[];
}>;

/** DER prefix of an Ed25519 private key in PKCS 8, in hex; the 32 bytes of the key follow. */
const ED25519_PKCS8_PREFIX = "302e020100300506032b657004220420";

/** Creates an example operator's key from the operator's name. Anybody can do the same, so the key is for examples only. */
const createExampleOperatorKey = (operator: string): KeyObject => {
  const seed = createHash("sha256")
    .update(`stairgauge example operator ${operator}`)
    .digest();
  return createPrivateKey({
    key: Buffer.concat([Buffer.from(ED25519_PKCS8_PREFIX, "hex"), seed]),
    format: "der",
    type: "pkcs8",
  });
};

const toPem = (key: KeyObject, type: "spki" | "pkcs8"): string =>
  key.export({ type, format: "pem" }).toString();

/** Signs a bundle as the example's operators: one proposes, one approves. */
export const signExampleBundle = (bundle: Bundle, version: number): SignedBundle => {
  const content = renderCanonical(bundle);
  const digest = computeDigest(content);
  const operator = "example-approver";
  const key = createExampleOperatorKey(operator);
  const approval = signDigest({ digest, operator, privateKey: toPem(key, "pkcs8") });
  return {
    head: { version, digest, proposer: "example-proposer", approvals: [approval] },
    content,
    trusted: [{ operator, publicKey: toPem(createPublicKey(key), "spki") }],
  };
};

/** Stores the signed bundle on a stand-in platform as version 1; returns the operators whom boxes must trust. */
export const seedExampleBundle = (
  platform: PlatformModel,
  bundle: Bundle,
): readonly TrustedOperator[] => {
  const { head, content, trusted } = signExampleBundle(bundle, 1);
  platform.writeObject(toObjectName(head.digest), content);
  platform.writeRow({
    at: HEAD_ROW,
    value: encodeHead(head),
    expected: { kind: "absent" },
  });
  return trusted;
};
