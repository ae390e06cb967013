/** Whether a request is let in: its route, its workspace, or why not. Pure. */
import type { Ms } from "@stairgauge/common";
import type { ConfigurationIndex } from "./indexConfiguration.js";
import type { ConfigurationFreshness } from "./configurationHolder.js";
import type { Route, WorkspaceSpec } from "./types.js";

/** What a request asks for. */
export type AccessRequest = Readonly<{
  host: string;
  path: string;
  key: string | undefined;
}>;

/** Why a request is not let in. */
export type AccessRefusal =
  /** The box knows no configuration yet. */
  | "no_configuration"
  /** What the box knows is too old to say that a route or key is not there, or that a key is still good. */
  | "knowledge_too_old"
  | "no_such_route"
  | "key_missing"
  | "key_unknown";

/** The decision. */
export type AccessDecision = Readonly<
  | { kind: "admitted"; route: Route; workspace: WorkspaceSpec | undefined }
  /** The route is given where one was found. */
  | { kind: "refused"; reason: AccessRefusal; route?: Route }
>;

const refuse = (reason: AccessRefusal, route?: Route): AccessDecision => ({
  kind: "refused",
  reason,
  ...(route && { route }),
});

/** Denials need fresh knowledge: a route or key that is unknown here may be a new one. */
const deny = (
  standing: ConfigurationFreshness,
  reason: AccessRefusal,
  route?: Route,
): AccessDecision => refuse(standing === "current" ? reason : "knowledge_too_old", route);

/** Decides by the configuration in force and by how lately it was confirmed. */
export const decideAccess = (
  index: ConfigurationIndex | undefined,
  standing: ConfigurationFreshness,
  request: AccessRequest,
): AccessDecision => {
  if (!index || standing === "unknown") return refuse("no_configuration");
  const route = index.findRoute(request.host, request.path);
  if (!route) return deny(standing, "no_such_route");
  if (!index.hasKeys || route.isKeyless)
    return { kind: "admitted", route, workspace: undefined };
  if (request.key === undefined) return refuse("key_missing", route);
  if (standing === "expired") return refuse("knowledge_too_old", route);
  const workspace = index.findWorkspace(request.key);
  if (!workspace) return deny(standing, "key_unknown", route);
  return { kind: "admitted", route, workspace };
};

/** The longest that a request may be held: its route's limit, or the client's own patience. */
export const computeTimeLimit = (route: Route, patience: Ms | undefined): Ms =>
  Math.min(route.answerLimit, patience ?? route.answerLimit) as Ms;
