/** Types of the bundle, its head and its approvals. */
import type { z } from "zod";
import type { bundleSchema } from "./schema.js";

type DeepReadonly<T> = T extends readonly (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : T extends object
    ? { readonly [Key in keyof T]: DeepReadonly<T[Key]> }
    : T;

/** The validated content of a bundle. */
export type Bundle = DeepReadonly<z.infer<typeof bundleSchema>>;

/** A paid priority tier. */
export type Tier = Bundle["tiers"][number];

/** A model that workspaces may use. */
export type Model = Bundle["models"][number];

/** A workspace and the models, adapters and services that it may use. */
export type Workspace = Bundle["workspaces"][number];

/** A plain service and its routes. */
export type Service = Bundle["services"][number];

/** One route of a plain service. */
export type ServiceRoute = Service["routes"][number];

/** A backend server: an engine or a server of a plain service. */
export type BackendServer = Bundle["backendServers"][number];

/** A backend server that runs a model engine. */
export type EngineServer = Extract<BackendServer, { kind: "engine" }>;

/** A backend server of a plain service. */
export type ServiceServer = Extract<BackendServer, { kind: "service" }>;

/** One fault in a bundle: the path of the value and what was expected there. */
export type BundleFault = Readonly<{ path: string; expected: string }>;

/** Why a text is not a valid bundle. */
export type BundleFailure = Readonly<{
  kind: "invalid_bundle";
  faults: readonly BundleFault[];
}>;

/** An operator's signature of a bundle's digest. */
export type Approval = Readonly<{ operator: string; signature: string }>;

/** The record that defines the active bundle. It is replaced by one compare-and-set write. */
export type BundleHead = Readonly<{
  version: number;
  digest: string;
  proposer: string;
  approvals: readonly Approval[];
}>;

/** An operator whose approvals count. `publicKey` is PEM (SPKI, Ed25519). */
export type TrustedOperator = Readonly<{ operator: string; publicKey: string }>;

/** Why a head was not adopted. */
export type HeadFailure = Readonly<
  | { kind: "version_not_higher"; current: number; offered: number }
  | { kind: "content_mismatch"; expectedDigest: string; actualDigest: string }
  | { kind: "too_few_approvals"; valid: number; needed: number }
  | BundleFailure
>;
