/** Stand-in engine for benchmarks: every request gets an endless stream of events at a fixed interval. Each event holds its send time. */
import { createServer, type ServerResponse } from "node:http";
import { HEADER } from "@stairgauge/platform";
import { listenOnLoopback, readWhole, type Listening } from "./loopback.js";

type Stream = { readonly response: ServerResponse; index: number };

/** Current time in Unix milliseconds, with microseconds. */
const renderTimestamp = (): string =>
  (performance.timeOrigin + performance.now()).toFixed(3);

/** Starts the source. A stream ends only when its client closes it or the source closes. */
export const startUsersEventSource = async (gapMs: number): Promise<Listening> => {
  const streams = new Set<Stream>();
  const sendEvent = (stream: Stream) => {
    const event = `id: ${stream.index}\ndata: {"t":"${renderTimestamp()}"}\n\n`;
    stream.response.write(event);
    stream.index += 1;
  };
  const timer = setInterval(() => {
    for (const stream of streams) sendEvent(stream);
  }, gapMs);

  const listening = await listenOnLoopback(
    createServer((incoming, response) => {
      void readWhole(incoming).then(() => {
        const id = incoming.headers[HEADER.requestId.toLowerCase()];
        response.writeHead(200, {
          "Content-Type": "text/event-stream",
          [HEADER.signature]: "signature",
          ...(id === undefined ? {} : { [HEADER.requestId]: String(id) }),
        });
        response.flushHeaders();
        const stream = { response, index: 0 };
        streams.add(stream);
        response.on("close", () => streams.delete(stream));
      });
    }),
  );
  return {
    address: listening.address,
    close: () => {
      clearInterval(timer);
      listening.close();
    },
  };
};
