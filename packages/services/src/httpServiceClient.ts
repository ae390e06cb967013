/** HTTP client of plain services. It streams request and response bodies. */
import { Agent, type Dispatcher } from "undici";
import { toLinkFailure } from "@stairgauge/http";
import type { LinkFailure } from "@stairgauge/outcomes";
import type {
  ServiceCall,
  ServiceClient,
  ServiceExchange,
  ServiceSink,
} from "./types.js";

const CONNECT_TIMEOUT_MS = 2_000;
const HEADERS_TIMEOUT_MS = 30_000;
const BODY_IDLE_TIMEOUT_MS = 30_000;

/**
 * An answer with neither a length nor chunked coding ends when its connection closes. The connections
 * of a killed process also close normally, so such an answer may be truncated and counts as failed.
 */
const UNFRAMED: LinkFailure = {
  kind: "closed_early",
  detail: "an answer without a length or chunks",
};

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const hasBody = (method: string, status: number): boolean =>
  method !== "HEAD" && !BODILESS_STATUSES.has(status);

/** Whether the headers define where the body ends. Chunked coding does so only as the last coding. */
const isFramed = (
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): boolean => {
  if (headers["content-length"] !== undefined) return true;
  const codings = [headers["transfer-encoding"] ?? ""].flat().join(",");
  return codings.split(",").at(-1)?.trim().toLowerCase() === "chunked";
};

export const createHttpServiceClient = (): ServiceClient => {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: HEADERS_TIMEOUT_MS,
    bodyTimeout: BODY_IDLE_TIMEOUT_MS,
  });

  const open = (call: ServiceCall, sink: ServiceSink): ServiceExchange => {
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    let endsWithConnection = false;
    const abort = () => controller?.abort(new Error("call closed by this side"));
    agent.dispatch(
      {
        origin: `http://${call.address}`,
        path: call.path,
        method: call.method,
        body: call.body,
        headers: call.headers as Record<string, string | string[]>,
      },
      {
        onRequestStart: (started) => {
          controller = started;
          if (isOver) abort();
        },
        onResponseStart: (_controller, status, headers) => {
          endsWithConnection = hasBody(call.method, status) && !isFramed(headers);
          if (!isOver) sink.onHead(status, headers);
        },
        onResponseData: (_controller, chunk) => {
          if (!isOver && !sink.onData(chunk)) controller?.pause();
        },
        onResponseEnd: () => {
          if (isOver) return;
          isOver = true;
          if (endsWithConnection) sink.onFailure(UNFRAMED);
          else sink.onEnd();
        },
        onResponseError: (_controller, error) => {
          if (isOver) return;
          isOver = true;
          sink.onFailure(toLinkFailure(error));
        },
      },
    );
    return {
      resume: () => controller?.resume(),
      close: () => {
        if (isOver) return;
        isOver = true;
        abort();
      },
    };
  };

  return { open, close: () => agent.destroy() };
};
