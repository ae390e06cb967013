/** A stand-in engine for benchmarks: every request gets events at one steady gap, with time stamps as text. */
import { createServer, type ServerResponse } from "node:http";
import { HEADER } from "@stairgauge/platform";
import { listenOnLoopback, readWhole, type Listening } from "./loopback.js";

type Stream = { readonly response: ServerResponse; index: number };

const renderStamp = (): string => (performance.timeOrigin + performance.now()).toFixed(3);

/** Starts the source; it never ends a stream by itself. */
export const startUsersEventSource = async (gapMs: number): Promise<Listening> => {
  const streams = new Set<Stream>();
  const sendOne = (stream: Stream) => {
    const event = `id: ${stream.index}\ndata: {"t":"${renderStamp()}"}\n\n`;
    stream.response.write(event);
    stream.index += 1;
  };
  const timer = setInterval(() => {
    for (const stream of streams) sendOne(stream);
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
