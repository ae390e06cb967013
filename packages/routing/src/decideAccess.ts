/** Access control: finds the route and the workspace of a request, or refuses it. Pure. */
import type { Ms } from "@stairgauge/common";
import type { ConfigurationIndex } from "./indexConfiguration.js";
import type { ConfigurationFreshness } from "./configurationHolder.js";
import type { Route, WorkspaceSpec } from "./types.js";

/** The fields of a request that decide on access; `key` is undefined if it carries none. */
export type AccessRequest = Readonly<{
  host: string;
  path: string;
  key: string | undefined;
}>;

/** Why a request is refused. */
export type AccessRefusal =
  /** The box has not read any configuration. */
  | "no_configuration"
  /** The configuration was confirmed too long ago to deny an unknown route or key, or to accept a key. */
  | "knowledge_too_old"
  | "no_such_route"
  /** The name of the workspace cannot be sent to servers; the next configuration may have another. */
  | "workspace_unsendable"
  | "key_missing"
  | "key_unknown";

/** The decision; `workspace` is undefined if the request needs no key. */
export type AccessDecision = Readonly<
  | { kind: "admitted"; route: Route; workspace: WorkspaceSpec | undefined }
  /** `route` is set if one was found. */
  | { kind: "refused"; reason: AccessRefusal; route?: Route }
>;

const refuse = (reason: AccessRefusal, route?: Route): AccessDecision => ({
  kind: "refused",
  reason,
  ...(route && { route }),
});

/** Denying requires a recently confirmed configuration: an unknown route or key may be new. */
const deny = (
  freshness: ConfigurationFreshness,
  reason: AccessRefusal,
  route?: Route,
): AccessDecision =>
  refuse(freshness === "current" ? reason : "knowledge_too_old", route);

/** Decides by the configuration in force and by how recently it was confirmed. */
export const decideAccess = (
  index: ConfigurationIndex | undefined,
  freshness: ConfigurationFreshness,
  request: AccessRequest,
): AccessDecision => {
  if (!index || freshness === "unknown") return refuse("no_configuration");
  const route = index.findRoute(request.host, request.path);
  if (!route) return deny(freshness, "no_such_route");
  if (!index.hasKeys || route.isKeyless)
    return { kind: "admitted", route, workspace: undefined };
  if (request.key === undefined) return refuse("key_missing", route);
  if (freshness === "expired") return refuse("knowledge_too_old", route);
  const workspace = index.findWorkspace(request.key);
  if (!workspace) return deny(freshness, "key_unknown", route);
  if (workspace.isUnsendable) return refuse("workspace_unsendable", route);
  return { kind: "admitted", route, workspace };
};

/** Time limit of a request: the shorter one of its route's limit and the time that its client waits. */
export const computeTimeLimit = (route: Route, patience: Ms | undefined): Ms =>
  Math.min(route.answerLimit, patience ?? route.answerLimit) as Ms;
