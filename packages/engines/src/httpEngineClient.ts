/** Client for engines that use the wire format of `wire.ts` over HTTP. */
import { Agent } from "undici";
import type { z } from "zod";
import { Err, Ok, type GenerationId, type Result } from "@stairgauge/common";
import { toLinkFailure } from "@stairgauge/http";
import type { LinkFailure } from "@stairgauge/outcomes";
import {
  CONNECT_TIMEOUT_MS,
  CONTROL_TIMEOUT_MS,
  MAX_CONTROL_BYTES,
} from "./constants.js";
import { toRefusal } from "./refusals.js";
import { openLink } from "./openLink.js";
import type { EngineAddress, EngineClient } from "./types.js";
import { cacheEventsSchema, loadReportSchema } from "./wire.js";

type ControlCall = Readonly<{
  address: EngineAddress;
  path: string;
  method: "GET" | "POST" | "DELETE";
  body?: unknown;
}>;

const FIRST_ERROR_STATUS = 300;

const toOrigin = (address: EngineAddress): string => `http://${address}`;

const toGenerationPath = (generation: GenerationId): string =>
  `/engine/v1/generations/${encodeURIComponent(generation)}`;

const decodeJson = (text: string): unknown =>
  text === "" ? undefined : JSON.parse(text);

/** Creates a client. It reuses connections to each engine and opens one per concurrent stream. */
export const createHttpEngineClient = (): EngineClient => {
  const links = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
  });
  const control = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: CONTROL_TIMEOUT_MS,
    bodyTimeout: CONTROL_TIMEOUT_MS,
    maxResponseSize: MAX_CONTROL_BYTES,
    connections: 4,
  });

  const sendControl = async (
    call: ControlCall,
  ): Promise<Result<unknown, LinkFailure>> => {
    try {
      const response = await control.request({
        origin: toOrigin(call.address),
        path: call.path,
        method: call.method,
        ...(call.body === undefined
          ? {}
          : {
              body: JSON.stringify(call.body),
              headers: { "content-type": "application/json" },
            }),
      });
      const text = await response.body.text();
      if (response.statusCode >= FIRST_ERROR_STATUS) {
        return Err(toRefusal(response.statusCode, text));
      }
      return Ok(decodeJson(text));
    } catch (error) {
      return error instanceof SyntaxError
        ? Err({ kind: "garbage", detail: "an answer that is not JSON" })
        : Err(toLinkFailure(error));
    }
  };

  const readControl = async <T>(
    call: ControlCall,
    schema: z.ZodType<T>,
  ): Promise<Result<T, LinkFailure>> => {
    const answer = await sendControl(call);
    if (answer.err) return answer;
    const parsed = schema.safeParse(answer.val);
    if (parsed.success) return Ok(parsed.data);
    return Err({ kind: "garbage", detail: "an answer that does not match its schema" });
  };

  const sendCommand = async (call: ControlCall): Promise<Result<void, LinkFailure>> => {
    const answer = await sendControl(call);
    return answer.err ? answer : Ok(undefined);
  };

  return {
    openStart: (address, request, handlers) =>
      openLink(
        links,
        {
          origin: toOrigin(address),
          path: "/engine/v1/generations",
          method: "POST",
          body: JSON.stringify(request),
        },
        handlers,
      ),
    openResume: (address, target, handlers) =>
      openLink(
        links,
        {
          origin: toOrigin(address),
          path: `${toGenerationPath(target.generation)}/stream?from=${target.from}`,
          method: "GET",
          body: null,
        },
        handlers,
      ),
    cancel: (address, target) =>
      sendCommand({
        address,
        path: `${toGenerationPath(target.generation)}?onlyIfDetached=${target.onlyIfDetached}`,
        method: "DELETE",
      }),
    setPaused: (address, target) =>
      sendCommand({
        address,
        path: `${toGenerationPath(target.generation)}/${target.isPaused ? "pause" : "continue"}`,
        method: "POST",
      }),
    readLoad: (address) =>
      readControl({ address, path: "/engine/v1/load", method: "GET" }, loadReportSchema),
    readCacheEvents: (address, afterSequence) =>
      readControl(
        {
          address,
          path: `/engine/v1/cache-events?after=${afterSequence}`,
          method: "GET",
        },
        cacheEventsSchema,
      ),
    sendOrder: (address, order) =>
      sendCommand({ address, path: "/engine/v1/orders", method: "POST", body: order }),
    close: async () => {
      await Promise.all([links.destroy(), control.destroy()]);
    },
  };
};
