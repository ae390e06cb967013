/** Lookups in a configuration: routes by host and longest path prefix, workspaces by key, services by name. */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { FleetConfiguration, Route, ServiceSpec, WorkspaceSpec } from "./types.js";

/** A configuration with lookups; each returns undefined if there is no match. */
export type ConfigurationIndex = Readonly<{
  configuration: FleetConfiguration;
  /** Whether the configuration has keys; if not, requests need none. */
  hasKeys: boolean;
  findRoute: (host: string, path: string) => Route | undefined;
  findWorkspace: (key: string) => WorkspaceSpec | undefined;
  findService: (name: ServiceName) => ServiceSpec | undefined;
  /** Shortest target for pauses between events of all routes; undefined if no route names one. */
  shortestPauseAim: Ms | undefined;
  /** Longest time of one answer of the streams that clients may take up; undefined if no route has such. */
  longestStream: Ms | undefined;
}>;

const PORT_SUFFIX = /:\d+$/;

const toHostKey = (host: string): string => host.replace(PORT_SUFFIX, "").toLowerCase();

/** Lists the prefixes of a path that end with a slash, longest first; the query is ignored. */
const listPrefixes = (path: string): readonly string[] => {
  const end = path.indexOf("?");
  const plain = end < 0 ? path : path.slice(0, end);
  const prefixes: string[] = [];
  for (let at = plain.lastIndexOf("/"); at >= 0; at = plain.lastIndexOf("/", at - 1)) {
    prefixes.push(plain.slice(0, at + 1));
    if (at === 0) break;
  }
  return prefixes;
};

const findShortestPauseAim = (routes: readonly Route[]): Ms | undefined => {
  const aims = routes.flatMap(({ pauseAim }) => (pauseAim === undefined ? [] : pauseAim));
  return aims.length > 0 ? (Math.min(...aims) as Ms) : undefined;
};

const findLongestStream = (routes: readonly Route[]): Ms | undefined => {
  const limits = routes.flatMap(({ isResumable, answerLimit }) =>
    isResumable ? [answerLimit] : [],
  );
  return limits.length > 0 ? (Math.max(...limits) as Ms) : undefined;
};

/** Builds the lookups; finding a route costs one map access per path segment. */
export const indexConfiguration = (
  configuration: FleetConfiguration,
): ConfigurationIndex => {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const key = toHostKey(route.host);
    const routes = routesByHost.get(key) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    routesByHost.set(key, routes);
  }
  const workspaces = configuration.workspaces ?? [];
  const workspacesByKey = new Map(
    workspaces.flatMap((workspace) =>
      workspace.keys.map((key) => [key, workspace] as const),
    ),
  );
  const services = new Map(configuration.services.map((spec) => [spec.name, spec]));

  return {
    configuration,
    hasKeys: configuration.workspaces !== undefined,
    shortestPauseAim: findShortestPauseAim(configuration.routes),
    longestStream: findLongestStream(configuration.routes),
    findRoute: (host, path) => {
      const routes = routesByHost.get(toHostKey(host));
      if (!routes) return undefined;
      for (const prefix of listPrefixes(path)) {
        const route = routes.get(prefix);
        if (route) return route;
      }
      return undefined;
    },
    findWorkspace: (key) => workspacesByKey.get(key),
    findService: (name) => services.get(name),
  };
};
