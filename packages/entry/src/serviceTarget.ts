/** Finds the plain service, the route and the servers of a call. */
import type { IncomingHttpHeaders } from "node:http";
import type { Service, ServiceRoute, ServiceServer } from "@stairgauge/bundle";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { HttpExchange } from "@stairgauge/http";
import type { ApiFailure } from "./apiError.js";
import type { Caller } from "./types.js";

/** Headers of a single connection, and credentials for the box; they are not forwarded. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
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

/** Headers of a request or response that are forwarded. */
export type PassedHeaders = Readonly<Record<string, string | readonly string[]>>;

/** Where a call is sent, and with what. */
export type ServiceTarget = Readonly<{
  service: Service;
  route: ServiceRoute;
  servers: readonly ServiceServer[];
  method: string;
  /** Path and query on the server, without `/services/NAME`. */
  path: string;
  headers: PassedHeaders;
}>;

const isMatch = (route: ServiceRoute, method: string, path: string): boolean => {
  if (route.method !== method) return false;
  return route.path.endsWith("*")
    ? path.startsWith(route.path.slice(0, -1))
    : route.path === path;
};

/** Copies the headers that are forwarded. */
export const copyHeaders = (headers: IncomingHttpHeaders): PassedHeaders =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || UNFORWARDED_HEADERS.has(name) ? [] : [[name, value]],
    ),
  );

/** Finds the target of a call. Fails if the caller's workspace may not use the service. */
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
