/** Token source of the relay benchmark: sends frames at a fixed interval, with time stamps as text. */
import type { ServerResponse } from "node:http";
import type { GenerationId } from "@stairgauge/common";
import { encodeFrame } from "@stairgauge/engines";
import { createHttpServer, sendJson, type HttpExchange } from "@stairgauge/http";

const LOOPBACK = "127.0.0.1";

type Stream = {
  readonly generation: GenerationId;
  readonly response: ServerResponse;
  index: number;
};

const streams = new Set<Stream>();
let gapMs = 100;
let timer: NodeJS.Timeout | undefined;

const renderStamp = (): string => (performance.timeOrigin + performance.now()).toFixed(3);

const sendToken = (stream: Stream) => {
  const { generation, index, response } = stream;
  response.write(encodeFrame({ kind: "token", generation, index, text: renderStamp() }));
  stream.index += 1;
};

const tick = () => {
  for (const stream of streams) sendToken(stream);
};

const openStream = (response: ServerResponse, generation: string) => {
  const stream = { generation: generation as GenerationId, response, index: 0 };
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
  response.on("close", () => streams.delete(stream));
  streams.add(stream);
};

const handleStart = async ({ request, response }: HttpExchange) => {
  let body = "";
  for await (const chunk of request) body += String(chunk);
  openStream(response, (JSON.parse(body) as { readonly generation: string }).generation);
};

const handleGap = ({ query, response }: HttpExchange) => {
  gapMs = Number(query.get("ms"));
  clearInterval(timer);
  timer = setInterval(tick, gapMs);
  sendJson(response, 200, {});
};

const IDLE_LOAD = {
  sequence: 1,
  running: 0,
  waiting: 0,
  usedTokens: 0,
  memoryTokens: 1,
  preemptions: 0,
  isLeaving: false,
  fencingToken: 0,
};

const server = createHttpServer({
  routes: [
    { method: "POST", path: "/engine/v1/generations", handle: handleStart },
    { method: "PUT", path: "/gap", handle: handleGap },
    {
      method: "DELETE",
      path: "/engine/v1/generations/:id",
      handle: ({ response }) => sendJson(response, 200, {}),
    },
    {
      method: "GET",
      path: "/engine/v1/load",
      handle: ({ response }) => sendJson(response, 200, IDLE_LOAD),
    },
  ],
  handleUnknown: ({ response }) => sendJson(response, 404, {}),
  renderClientFault: (fault) => ({ status: 400, headers: {}, body: fault }),
  reportFault: (error) => process.stderr.write(`source: ${String(error)}\n`),
});
process.stdout.write(`engine on ${LOOPBACK}:${await server.open(LOOPBACK, 0)}\n`);
