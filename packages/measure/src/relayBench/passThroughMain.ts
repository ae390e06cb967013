/** Baseline of the benchmarks: a bare pass-through of the same bytes with undici. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent, stream } from "undici";

const LOOPBACK = "127.0.0.1";

const [, , upstream = ""] = process.argv;
const dispatcher = new Agent({ bodyTimeout: 0 });
let count = 0;

const server = createServer((request, response) => {
  request.resume();
  const body = JSON.stringify({ generation: `pass-through-${count++}` });
  const url = `http://${upstream}/engine/v1/generations`;
  stream(
    url,
    { method: "POST", body, dispatcher, opaque: response },
    ({ statusCode }) => {
      response.writeHead(statusCode, { "content-type": "text/event-stream" });
      return response;
    },
  ).catch(() => response.destroy());
});
server.listen(0, LOOPBACK, () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`pass-through on ${LOOPBACK}:${port}\n`);
});
