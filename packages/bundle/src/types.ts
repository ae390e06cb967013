/** Types of the bundle and of what stands around it. */
import type { z } from "zod";
import type { bundleSchema } from "./schema.js";

type DeepReadonly<T> = T extends readonly (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : T extends object
    ? { readonly [Key in keyof T]: DeepReadonly<T[Key]> }
    : T;

/** A bundle's content, validated. */
export type Bundle = DeepReadonly<z.infer<typeof bundleSchema>>;

/** A paid priority tier. */
export type Tier = Bundle["tiers"][number];

/** A model on offer. */
export type Model = Bundle["models"][number];

/** A workspace and what it may reach. */
export type Workspace = Bundle["workspaces"][number];

/** A plain service and its routes. */
export type Service = Bundle["services"][number];

/** One route of a plain service. */
export type ServiceRoute = Service["routes"][number];

/** A backend server of either kind. */
export type BackendServer = Bundle["backendServers"][number];

/** A backend server that runs a model engine. */
export type EngineServer = Extract<BackendServer, { kind: "engine" }>;

/** A backend server of a plain service. */
export type ServiceServer = Extract<BackendServer, { kind: "service" }>;

/** One fault in a bundle, at the path where it stands. */
export type BundleFault = Readonly<{ path: string; expected: string }>;

/** Why a text is not a bundle. */
export type BundleFailure = Readonly<{
  kind: "invalid_bundle";
  faults: readonly BundleFault[];
}>;

/** An operator's signature under a bundle's digest. */
export type Approval = Readonly<{ operator: string; signature: string }>;

/** The record that says which bundle is in force; one compare-and-set moves it. */
export type BundleHead = Readonly<{
  version: number;
  digest: string;
  proposer: string;
  approvals: readonly Approval[];
}>;

/** An operator whose signatures a box trusts. `publicKey` is PEM (SPKI, Ed25519). */
export type TrustedOperator = Readonly<{ operator: string; publicKey: string }>;

/** Why a head was not adopted. */
export type HeadFailure = Readonly<
  | { kind: "version_not_higher"; current: number; offered: number }
  | { kind: "content_mismatch"; expectedDigest: string; actualDigest: string }
  | { kind: "too_few_approvals"; valid: number; needed: number }
  | BundleFailure
>;
