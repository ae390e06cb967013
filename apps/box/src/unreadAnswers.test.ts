/** Guards against answers that go on whose clients read nothing: what waits for each is counted, for all together. */
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { HEADER } from "@stairgauge/platform";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { ask, closers, makeGeneration, startSite, waitFor } from "./box.testkit.js";
import {
  formatHead,
  startWritingServer,
  writeSoundAnswer,
} from "./endlessAnswers.testkit.js";

const CLIENTS = 30;

/** Servers of each kind. A box that knows nothing of a server's pace sends it eight requests at once. */
const SERVERS = 4;

const CASES = [
  ["plain answer", "/again/", "text/plain", "x".repeat(4_000)],
  ["stream", "/draft/", "text/event-stream", `data: ${"x".repeat(4_000)}\n\n`],
] as const;

const formatRequest = (path: string, id: string) => {
  const headers = {
    Host: SITE_HOST,
    [HEADER.requestId]: id,
    [HEADER.authorization]: `Token ${SITE_KEY}`,
    "Content-Length": "0",
    ...makeGeneration(300, 40),
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return `POST ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n`;
};

describe("a box whose clients read nothing of answers that go on", () => {
  it.each(CASES)(
    "closes those connections that have held some longest, and no client's that reads: %s",
    async (_, path, contentType, text) => {
      const { site, ports, lines, start } = await startSite(0, 0, {
        more: "clients: { unreadMb: 1 }",
      });
      const repeat = `${text.length.toString(16)}\r\n${text}\r\n`;
      const startServer = (name: string) =>
        startWritingServer((call) => {
          if (call.method === "GET") return writeSoundAnswer(name, call);
          const isUnread = call.path.endsWith("unread");
          const begin = formatHead("200 OK", [
            `${HEADER.requestId}: ${call.id}`,
            `${HEADER.signature}: s`,
            `Content-Type: ${contentType}`,
            "Transfer-Encoding: chunked",
          ]);
          if (isUnread) return { begin, repeat };
          return { begin: `${begin}${repeat.repeat(400)}0\r\n\r\n` };
        });
      await start();
      for (let i = 0; i < SERVERS; i += 1) {
        site.putService(`page-${i}`, await startServer(`page-${i}`));
        site.putEngine(`engine-${i}`, await startServer(`engine-${i}`));
      }
      await waitFor(
        () =>
          lines.filter(({ event }) => event === "server_joined").length === 2 * SERVERS,
      );
      for (let i = 0; i < CLIENTS; i += 1) {
        const socket = connect(ports.clients, "127.0.0.1");
        closers.push(() => socket.destroy());
        socket.on("error", () => undefined);
        socket.write(formatRequest(`${path}${i}-unread`, `unread-${i}`));
      }
      await waitFor(() => lines.some(({ limit }) => limit === "answer_unread"));
      const read = await ask(ports, {
        path: `${path}x`,
        headers: makeGeneration(300, 40),
      });
      expect(read).toMatchObject({ status: 200, isWhole: true });
      expect(read.body).toHaveLength(400 * text.length);
    },
  );
});
