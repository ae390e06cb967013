/** HTTP API of the stand-in engine. */
import type { ServerResponse } from "node:http";
import type { Clock, GenerationId, Ms, Timer } from "@stairgauge/common";
import {
  encodeFrame,
  GENERATION_GONE_KIND,
  LEAVING_KIND,
  orderSchema,
  startBodySchema,
} from "@stairgauge/engines";
import { sendJson, type HttpExchange, type HttpRoute } from "@stairgauge/http";
import {
  engineFaultSchema,
  renderFaultyFrame,
  type EngineFault,
} from "./engineFaults.js";
import type { EngineHost, EngineRefusal } from "./engineHost.js";
import { readBodyAs } from "./readBodyAs.js";

const HEARTBEAT_MS = 1_000 as Ms;
const NO_FAULT: EngineFault = { kind: "none", afterTokens: 0, times: 1 };

const STATUS_BY_REFUSAL = {
  leaving: 503,
  unknown_model: 404,
  generation_gone: 404,
  stale_fencing_token: 409,
  order_too_late: 410,
} as const satisfies Record<EngineRefusal["kind"], number>;

const sendRefusal = (response: ServerResponse, kind: EngineRefusal["kind"]) => {
  const wireKind =
    kind === "leaving"
      ? LEAVING_KIND
      : kind === "generation_gone"
        ? GENERATION_GONE_KIND
        : kind;
  const error = { kind: wireKind, message: `the engine refused: ${kind}` };
  sendJson(response, STATUS_BY_REFUSAL[kind], { error, outcome: "not_run" });
};

/** One open stream: `from` is the index of the first frame, `fault` strikes once `fault.afterTokens` frames are written. */
type StreamOptions = Readonly<{
  host: EngineHost;
  clock: Clock;
  id: GenerationId;
  from: number;
  response: ServerResponse;
  fault: EngineFault;
}>;

/** Writes a generation's frames to one response and pauses while the reader is slower. */
const streamFrames = (options: StreamOptions) => {
  const { host, clock, id, response, fault } = options;
  let index = options.from;
  let written = 0;
  let isBlocked = false;
  let isSilent = false;
  let heartbeat: Timer | undefined;

  const close = () => {
    heartbeat?.cancel();
    host.detach(id, reader);
    response.destroy();
  };
  const writeText = (text: string) => {
    if (text !== "" && !response.write(text)) isBlocked = true;
  };
  const writeNext = (): boolean => {
    const frame = host.getFrame(id, index);
    if (frame === undefined) return false;
    if (frame === "gone") {
      close();
      return false;
    }
    const isFaultDue = fault.kind !== "none" && written === fault.afterTokens;
    if (isFaultDue) {
      const write = renderFaultyFrame(fault, frame);
      writeText(write.text);
      isSilent = write.thenSilent;
      if (write.thenClose) response.write("", close);
    } else {
      writeText(encodeFrame(frame));
    }
    written += 1;
    index += 1;
    if (frame.kind !== "end") return !isSilent;
    response.end();
    return false;
  };
  const writeAvailable = () => {
    while (!isBlocked && !isSilent && !response.destroyed && writeNext());
  };
  const reader = { notify: writeAvailable };
  const scheduleHeartbeat = () => {
    heartbeat = clock.setTimer(HEARTBEAT_MS, () => {
      if (!isBlocked && !isSilent) writeText(encodeFrame({ kind: "heartbeat" }));
      scheduleHeartbeat();
    });
  };

  if (!host.attach(id, reader)) {
    sendRefusal(response, "generation_gone");
    return;
  }
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
  response.on("drain", () => {
    isBlocked = false;
    writeAvailable();
  });
  response.on("close", close);
  scheduleHeartbeat();
  writeAvailable();
};

/** Creates the routes of one stand-in engine. */
export const createEngineRoutes = (
  host: EngineHost,
  clock: Clock,
): readonly HttpRoute[] => {
  let fault: EngineFault = NO_FAULT;

  const takeFault = (): EngineFault => {
    const taken = fault;
    if (fault.kind !== "none") {
      fault = fault.times > 1 ? { ...fault, times: fault.times - 1 } : NO_FAULT;
    }
    return taken;
  };
  const openStream = (exchange: HttpExchange, id: GenerationId, from: number) => {
    streamFrames({
      host,
      clock,
      id,
      from,
      response: exchange.response,
      fault: takeFault(),
    });
  };
  const handleStart = async (exchange: HttpExchange) => {
    const body = await readBodyAs(exchange, startBodySchema, clock);
    if (!body) return;
    if (fault.kind === "refuse") {
      takeFault();
      sendJson(exchange.response, 503, {
        error: { kind: "overloaded", message: "asked to refuse" },
        outcome: "not_run",
      });
      return;
    }
    const started = host.start(body);
    if (started.err) {
      sendRefusal(exchange.response, started.val.kind);
      return;
    }
    openStream(exchange, body.generation, 0);
  };
  const handlePause = (isPaused: boolean) => (exchange: HttpExchange) => {
    const result = host.setPaused(exchange.params["id"] as GenerationId, isPaused);
    if (result.err) sendRefusal(exchange.response, result.val.kind);
    else sendJson(exchange.response, 200, {});
  };

  return [
    { method: "POST", path: "/engine/v1/generations", handle: handleStart },
    {
      method: "GET",
      path: "/engine/v1/generations/:id/stream",
      handle: (exchange) => {
        const from = Number(exchange.query.get("from") ?? 0);
        openStream(exchange, exchange.params["id"] as GenerationId, from);
      },
    },
    {
      method: "POST",
      path: "/engine/v1/generations/:id/pause",
      handle: handlePause(true),
    },
    {
      method: "POST",
      path: "/engine/v1/generations/:id/continue",
      handle: handlePause(false),
    },
    {
      method: "DELETE",
      path: "/engine/v1/generations/:id",
      handle: (exchange) => {
        const onlyIfDetached = exchange.query.get("onlyIfDetached") === "true";
        host.cancel(exchange.params["id"] as GenerationId, onlyIfDetached);
        sendJson(exchange.response, 200, {});
      },
    },
    {
      method: "GET",
      path: "/engine/v1/load",
      handle: ({ response }) => sendJson(response, 200, host.getReport()),
    },
    {
      method: "GET",
      path: "/engine/v1/cache-events",
      handle: ({ response, query }) =>
        sendJson(response, 200, host.listCacheEvents(Number(query.get("after") ?? 0))),
    },
    {
      method: "POST",
      path: "/engine/v1/orders",
      handle: async (exchange) => {
        const order = await readBodyAs(exchange, orderSchema, clock);
        if (!order) return;
        const result = host.applyOrder(order);
        if (result.err) sendRefusal(exchange.response, result.val.kind);
        else sendJson(exchange.response, 200, {});
      },
    },
    {
      method: "PUT",
      path: "/standin/v1/fault",
      handle: async (exchange) => {
        const body = await readBodyAs(exchange, engineFaultSchema, clock);
        if (!body) return;
        fault = body;
        sendJson(exchange.response, 200, {});
      },
    },
    {
      method: "PUT",
      path: "/standin/v1/leaving",
      handle: ({ response, query }) => {
        host.setLeaving(query.get("value") !== "false");
        sendJson(response, 200, {});
      },
    },
    {
      method: "GET",
      path: "/standin/v1/counts",
      handle: ({ response }) => sendJson(response, 200, host.getCounts()),
    },
  ];
};
