/** Finds which plain service, route and servers a call is for. */
import type { IncomingHttpHeaders } from "node:http";
import type { Service, ServiceRoute, ServiceServer } from "@stairgauge/bundle";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { HttpExchange } from "@stairgauge/http";
import type { ApiFailure } from "./apiError.js";
import type { Caller } from "./types.js";

/** Headers that belong to one connection, or to this system, and are not passed on. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers of an exchange, without those that are not passed on. */
export type PassedHeaders = Readonly<Record<string, string | readonly string[]>>;

/** Where a call goes. */
export type ServiceTarget = Readonly<{
  service: Service;
  route: ServiceRoute;
  servers: readonly ServiceServer[];
  method: string;
  /** Path and query on the server. */
  path: string;
  headers: PassedHeaders;
}>;

const isMatch = (route: ServiceRoute, method: string, path: string): boolean => {
  if (route.method !== method) return false;
  return route.path.endsWith("*")
    ? path.startsWith(route.path.slice(0, -1))
    : route.path === path;
};

/** Copies the headers that are passed on. */
export const copyHeaders = (headers: IncomingHttpHeaders): PassedHeaders =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || OWN_HEADERS.has(name) ? [] : [[name, value]],
    ),
  );

/** Finds the target among what the caller's workspace was granted. */
export const findServiceTarget = (
  { request, params }: HttpExchange,
  { workspace, index }: Caller,
): Result<ServiceTarget, ApiFailure> => {
  const name = params["name"] ?? "";
  const service = index.services.get(name);
  if (!service || !workspace.services.includes(name)) {
    return Err({ kind: "unknown_service", service: name });
  }
  const method = request.method ?? "";
  const path = (request.url ?? "").slice(`/services/${name}`.length) || "/";
  const [pathname = "/"] = path.split("?");
  const route = service.routes.find((one) => isMatch(one, method, pathname));
  if (!route) return Err({ kind: "unknown_route" });
  const servers = index.serversByService.get(name) ?? [];
  return Ok({
    service,
    route,
    servers,
    method,
    path,
    headers: copyHeaders(request.headers),
  });
};
