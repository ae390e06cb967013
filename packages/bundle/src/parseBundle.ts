/** Parses a bundle from YAML or JSON text and checks that its names are unique and its references exist. */
import { parse as parseYaml } from "yaml";
import type { z } from "zod";
import { Err, Ok, type Result } from "@stairgauge/common";
import { bundleSchema } from "./schema.js";
import type { Bundle, BundleFailure, BundleFault } from "./types.js";

const formatPath = (path: readonly PropertyKey[]): string =>
  path.map(String).join(".") || "(whole bundle)";

const toFaults = (error: z.ZodError): readonly BundleFault[] =>
  error.issues.map((issue) => ({
    path: formatPath(issue.path),
    expected: issue.message,
  }));

const findDuplicates = (
  names: readonly string[],
  pathOf: (index: number) => string,
): readonly BundleFault[] => {
  const seen = new Set<string>();
  return names.flatMap((name, index) => {
    const isDuplicate = seen.has(name);
    seen.add(name);
    return isDuplicate
      ? [{ path: pathOf(index), expected: `a unique value, "${name}" is already used` }]
      : [];
  });
};

const findMissingReferences = (options: {
  readonly names: readonly string[];
  readonly known: ReadonlySet<string>;
  readonly path: string;
  readonly what: string;
}): readonly BundleFault[] =>
  options.names.flatMap((name, index) =>
    options.known.has(name)
      ? []
      : [
          {
            path: `${options.path}.${index}`,
            expected: `a ${options.what} of this bundle, not "${name}"`,
          },
        ],
  );

const findNameFaults = (bundle: Bundle): readonly BundleFault[] => [
  ...findDuplicates(
    bundle.tiers.map((tier) => tier.name),
    (i) => `tiers.${i}.name`,
  ),
  ...findDuplicates(
    bundle.models.map((model) => model.name),
    (i) => `models.${i}.name`,
  ),
  ...findDuplicates(
    bundle.services.map((service) => service.name),
    (i) => `services.${i}.name`,
  ),
  ...findDuplicates(
    bundle.workspaces.map((one) => one.name),
    (i) => `workspaces.${i}.name`,
  ),
  ...findDuplicates(
    bundle.backendServers.map((one) => one.name),
    (i) => `backendServers.${i}.name`,
  ),
  ...findDuplicates(
    bundle.backendServers.map((one) => one.address),
    (i) => `backendServers.${i}.address`,
  ),
  ...findDuplicates(
    bundle.workspaces.flatMap((one) => one.keyHashes),
    () => "workspaces.*.keyHashes",
  ),
];

const findReferenceFaults = (bundle: Bundle): readonly BundleFault[] => {
  const tiers = new Set(bundle.tiers.map((tier) => tier.name));
  const models = new Set(bundle.models.map((model) => model.name));
  const adapters = new Set(bundle.models.flatMap((model) => model.adapters));
  const services = new Set(bundle.services.map((service) => service.name));
  const workspaceFaults = bundle.workspaces.flatMap((workspace, i) => {
    const path = `workspaces.${i}`;
    return [
      ...findMissingReferences({
        names: [workspace.tier],
        known: tiers,
        path: `${path}.tier`,
        what: "tier",
      }),
      ...findMissingReferences({
        names: workspace.models,
        known: models,
        path: `${path}.models`,
        what: "model",
      }),
      ...findMissingReferences({
        names: workspace.adapters,
        known: adapters,
        path: `${path}.adapters`,
        what: "adapter",
      }),
      ...findMissingReferences({
        names: workspace.services,
        known: services,
        path: `${path}.services`,
        what: "service",
      }),
    ];
  });
  const serverFaults = bundle.backendServers.flatMap((server, i) =>
    findMissingReferences({
      names: server.serves,
      known: server.kind === "engine" ? models : services,
      path: `backendServers.${i}.serves`,
      what: server.kind === "engine" ? "model" : "service",
    }),
  );
  return [...workspaceFaults, ...serverFaults];
};

const findServingFaults = (bundle: Bundle): readonly BundleFault[] => {
  const engines = bundle.backendServers.filter((server) => server.kind === "engine");
  const served = new Set(bundle.backendServers.flatMap((server) => server.serves));
  const unserved = [
    ...bundle.models.map((model, i) => ({ name: model.name, path: `models.${i}` })),
    ...bundle.services.map((service, i) => ({
      name: service.name,
      path: `services.${i}`,
    })),
  ].filter((one) => !served.has(one.name));
  const tooSmall = bundle.models.flatMap((model, i) => {
    const servers = engines.filter((engine) => engine.serves.includes(model.name));
    const canFit = servers.some((engine) => engine.memoryTokens >= model.contextTokens);
    return servers.length === 0 || canFit
      ? []
      : [
          {
            path: `models.${i}.contextTokens`,
            expected: "an engine with at least as many memoryTokens",
          },
        ];
  });
  return [
    ...unserved.map((one) => ({
      path: one.path,
      expected: "a backend server that serves it",
    })),
    ...tooSmall,
  ];
};

/** Validates a decoded value. Each fault is reported with its path. */
export const checkBundle = (value: unknown): Result<Bundle, BundleFailure> => {
  const parsed = bundleSchema.safeParse(value);
  if (!parsed.success)
    return Err({ kind: "invalid_bundle", faults: toFaults(parsed.error) });
  const bundle: Bundle = parsed.data;
  const faults = [
    ...findNameFaults(bundle),
    ...findReferenceFaults(bundle),
    ...findServingFaults(bundle),
  ];
  return faults.length > 0 ? Err({ kind: "invalid_bundle", faults }) : Ok(bundle);
};

/** JSON is also valid YAML, but the JSON parser is about twenty times as fast. */
const decodeText = (text: string): unknown =>
  text.startsWith("{") ? JSON.parse(text) : parseYaml(text, { logLevel: "error" });

/** Parses a bundle from hand-written YAML or from canonical JSON. */
export const parseBundle = (text: string): Result<Bundle, BundleFailure> => {
  try {
    return checkBundle(decodeText(text));
  } catch (error) {
    const expected = error instanceof Error ? error.message : "YAML";
    return Err({ kind: "invalid_bundle", faults: [{ path: "(text)", expected }] });
  }
};
