/** HTTP API of a stand-in plain service, with searches, which may be repeated, and contacts, which may not. */
import { z } from "zod";
import type { Clock, Ms } from "@stairgauge/common";
import { readBody, sendJson, type HttpExchange, type HttpRoute } from "@stairgauge/http";
import { readBodyAs } from "./readBodyAs.js";

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const BODY_TIMEOUT_MS = 30_000 as Ms;

const faultSchema = z.object({
  kind: z.enum(["none", "lose_answer", "refuse", "refuse_leaving", "hang"]),
  times: z.int().min(1).default(1),
});

type ServiceFault = z.infer<typeof faultSchema>;

const NO_FAULT: ServiceFault = { kind: "none", times: 1 };

/** Creates the routes of one server of the service; `server` is its name. */
export const createServiceRoutes = (
  server: string,
  clock: Clock,
): readonly HttpRoute[] => {
  /** Number of runs by call. */
  const runs = new Map<string, number>();
  let fault: ServiceFault = NO_FAULT;

  const takeFault = (): ServiceFault["kind"] => {
    const { kind } = fault;
    if (kind !== "none") {
      fault = fault.times > 1 ? { ...fault, times: fault.times - 1 } : NO_FAULT;
    }
    return kind;
  };
  const refuse = ({ response }: HttpExchange, isLeaving: boolean) =>
    sendJson(
      response,
      503,
      { error: "asked to refuse" },
      { "stairgauge-outcome": "not_run", "stairgauge-leaving": String(isLeaving) },
    );
  const recordRun = (name: string) => runs.set(name, (runs.get(name) ?? 0) + 1);

  /** Runs and answers a call. A fault may refuse it, lose its answer, or leave it without an answer. */
  const serve = (exchange: HttpExchange, name: string, answer: unknown) => {
    const kind = takeFault();
    if (kind === "refuse") return refuse(exchange, false);
    if (kind === "refuse_leaving") return refuse(exchange, true);
    recordRun(name);
    if (kind === "hang") return undefined;
    if (kind === "lose_answer") {
      exchange.response.destroy();
      return undefined;
    }
    return sendJson(exchange.response, 200, answer);
  };

  const handleContact = async (exchange: HttpExchange) => {
    const limits = {
      maxBytes: MAX_BODY_BYTES,
      idleTimeout: BODY_TIMEOUT_MS,
      totalTimeout: BODY_TIMEOUT_MS,
    };
    const body = await readBody(exchange.request, limits, clock);
    if (body.err) return;
    const name = `contact ${body.val.toString().slice(0, 200)}`;
    serve(exchange, name, { server, sent: true, bytes: body.val.length });
  };

  return [
    {
      method: "GET",
      path: "/search",
      handle: (exchange) =>
        serve(exchange, "search", { server, query: exchange.query.get("q"), hits: 3 }),
    },
    { method: "POST", path: "/contact", handle: handleContact },
    {
      method: "POST",
      path: "/echo",
      handle: ({ request, response }) => {
        response.writeHead(200, { "content-type": "application/octet-stream" });
        request.pipe(response);
      },
    },
    {
      method: "PUT",
      path: "/standin/v1/fault",
      handle: async (exchange) => {
        const body = await readBodyAs(exchange, faultSchema, clock);
        if (!body) return;
        fault = body;
        sendJson(exchange.response, 200, {});
      },
    },
    {
      method: "GET",
      path: "/standin/v1/runs",
      handle: ({ response }) => sendJson(response, 200, Object.fromEntries(runs)),
    },
  ];
};
