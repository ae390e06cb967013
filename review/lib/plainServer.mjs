/**
 * A stand-in plain server (SYSTEM.md, PROTOCOL.md): it answers each request with its own id and signature after some
 * milliseconds, its health path with its id, and gives up a request whose connection closes. `spoil` may replace the
 * bytes of an answer.
 */
import { createServer } from "node:net";
import { HOST } from "./site.mjs";

const HEAD_END = "\r\n\r\n";

const parse = (text) => {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
  if (text.length < end + HEAD_END.length + length) return undefined;
  return {
    path: head.split(" ")[1],
    id: /^request-id: (\S+)/im.exec(head)?.[1],
    expected: /^expect-instance: (\S+)/im.exec(head)?.[1],
    left: text.slice(end + HEAD_END.length + length),
  };
};

const formatAnswer = (line, headers, body) =>
  Buffer.from(
    `HTTP/1.1 ${line}\r\n${headers}Content-Length: ${body.length}${HEAD_END}${body}`,
    "latin1",
  );

/** Starts a server; `onRun` is called for each request that it works on. */
export const startPlainServer = ({ name, workMs, onRun, spoil = (answer) => answer }) =>
  new Promise((resolve) => {
    const sockets = new Set();
    const server = createServer((socket) => {
      let text = "";
      sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => sockets.delete(socket));
      const serve = ({ path, id, expected }) => {
        if (path === "/healthz") {
          socket.write(formatAnswer("200 OK", `Instance-Id: ${name}\r\n`, ""));
          return;
        }
        if (expected !== undefined && expected !== name) {
          socket.write(
            formatAnswer("421 Misdirected Request", `Not-Executed: 1\r\n`, ""),
          );
          return;
        }
        onRun(id);
        setTimeout(() => {
          if (socket.destroyed) return;
          const headers = `Request-Id: ${id}\r\nResponse-Signature: ${name}.${id}\r\n`;
          socket.write(
            spoil(formatAnswer("200 OK", headers, `answer of ${name} to ${id}`), id),
          );
        }, workMs);
      };
      socket.on("data", (bytes) => {
        text += bytes.toString("latin1");
        for (let request = parse(text); request; request = parse(text)) {
          text = request.left;
          serve(request);
        }
      });
    });
    server.listen(0, HOST, () =>
      resolve({
        name,
        address: `${HOST}:${server.address().port}`,
        close: () => {
          server.close();
          for (const socket of sockets) socket.destroy();
        },
      }),
    );
  });
