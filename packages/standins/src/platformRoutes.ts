/** HTTP API of the stand-in platform. */
import { z } from "zod";
import { waitFor, type Clock, type Ms } from "@stairgauge/common";
import { readBody, sendJson, type HttpExchange, type HttpRoute } from "@stairgauge/http";
import { writesSchema } from "@stairgauge/stores";
import type { PlatformModel } from "./platformModel.js";
import { readBodyAs } from "./readBodyAs.js";
import { createWritePacer } from "./writePacer.js";

const MAX_OBJECT_BYTES = 64 * 1024 * 1024;
const OBJECT_TIMEOUT_MS = 30_000 as Ms;

const modeSchema = z.object({
  isDown: z.boolean().optional(),
  delayMs: z.number().min(0).optional(),
  answersToLose: z.int().min(0).optional(),
  writesPerSecond: z.number().min(0).optional(),
});

const serversSchema = z.array(
  z.object({
    name: z.string(),
    kind: z.enum(["box", "backend_server"]),
    address: z.string(),
    dataHall: z.string(),
    state: z.enum(["live", "leaving"]),
  }),
);

/** Creates the routes of the stand-in platform. */
export const createPlatformRoutes = (
  model: PlatformModel,
  clock: Clock,
): readonly HttpRoute[] => {
  const pacer = createWritePacer(clock);

  /** Applies the platform's mode to a call: refusal, delay, write rate and lost answers. */
  const withMode =
    (kind: "read" | "write", serve: (exchange: HttpExchange) => Promise<unknown>) =>
    async (exchange: HttpExchange) => {
      const mode = model.getMode();
      if (mode.isDown) {
        sendJson(exchange.response, 503, { error: "down" });
        return;
      }
      if (mode.delayMs > 0) await waitFor(clock, mode.delayMs as Ms);
      if (kind === "write" && mode.writesPerSecond > 0) {
        await waitFor(clock, pacer.reserve(mode.writesPerSecond));
      }
      const answer = await serve(exchange);
      if (kind === "write" && model.takeLostAnswer()) {
        exchange.response.destroy();
        return;
      }
      if (answer === undefined) sendJson(exchange.response, 404, { error: "not found" });
      else sendJson(exchange.response, 200, answer);
    };

  const writeRows = async (exchange: HttpExchange) => {
    const body = await readBodyAs(exchange, writesSchema, clock);
    return body && { results: body.writes.map((write) => model.writeRow(write)) };
  };
  const writeObject = async ({ request, params }: HttpExchange) => {
    const limits = {
      maxBytes: MAX_OBJECT_BYTES,
      idleTimeout: OBJECT_TIMEOUT_MS,
      totalTimeout: OBJECT_TIMEOUT_MS,
    };
    const body = await readBody(request, limits, clock);
    if (body.err) return undefined;
    model.writeObject(params["name"] ?? "", body.val.toString());
    return {};
  };
  const readObject = (exchange: HttpExchange) => {
    const content = model.readObject(exchange.params["name"] ?? "");
    if (content === undefined) return Promise.resolve(undefined);
    exchange.response.writeHead(200, { "content-type": "application/octet-stream" });
    exchange.response.end(content);
    return Promise.resolve({});
  };
  const readRow = ({ params }: HttpExchange) =>
    Promise.resolve(
      model.readRow({ table: params["table"] ?? "", key: params["key"] ?? "" }),
    );
  const readServers = () => Promise.resolve({ servers: model.listServers() });

  return [
    {
      method: "GET",
      path: "/table/v1/rows/:table/:key",
      handle: withMode("read", readRow),
    },
    { method: "POST", path: "/table/v1/writes", handle: withMode("write", writeRows) },
    { method: "GET", path: "/objects/v1/:name", handle: withMode("read", readObject) },
    { method: "PUT", path: "/objects/v1/:name", handle: withMode("write", writeObject) },
    { method: "GET", path: "/boxes/v1", handle: withMode("read", readServers) },
    {
      method: "PUT",
      path: "/standin/v1/mode",
      handle: async (exchange) => {
        const body = await readBodyAs(exchange, modeSchema, clock);
        if (!body) return;
        model.setMode(JSON.parse(JSON.stringify(body)) as typeof body);
        sendJson(exchange.response, 200, model.getMode());
      },
    },
    {
      method: "PUT",
      path: "/standin/v1/servers",
      handle: async (exchange) => {
        const body = await readBodyAs(exchange, serversSchema, clock);
        if (!body) return;
        model.setServers(body);
        sendJson(exchange.response, 200, {});
      },
    },
    {
      method: "GET",
      path: "/standin/v1/counts",
      handle: ({ response }) => sendJson(response, 200, model.getCounts()),
    },
  ];
};
