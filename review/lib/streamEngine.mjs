/**
 * A stand-in model server as PROTOCOL.md tells it, as far as the cases need it: streams, reports, and copies of a run's
 * memory to another server (`/kv-move`, `Kv-From`). Copies leave a server one after the other, at `kvTokenBytes` a token
 * over `linkMbps`, twice as long to another zone. Answers are chunked, or have no length and end with their connection, as
 * `isUnframed` says. A run that is stopped for a copy has its stream closed between two events, without its end (the last
 * chunk). Runs whose connection closes are dropped.
 */
import { createServer } from "node:net";
import { HOST, wait } from "./site.mjs";

const TOKENS_PER_EVENT = 4;
const EVENT_MS = 28;
const PROMPT_TOKENS_PER_MS = 14;
const MEMORY_TOKENS = 34_414;
const SLOTS = 48;
/** kvTokenBytes and linkMbps of the stand-in site's configuration. */
const MS_PER_COPIED_TOKEN = (131_072 * 8) / (19_000 * 1_000);
const HANDLE_MS = 5_000;
const FAR_FACTOR = 2;

const HEAD_END = "\r\n\r\n";

export const formatEvent = (id, index) => `id: ${index}\ndata: ${id} ${index}\n\n`;

const parse = (text) => {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const get = (name) => new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1];
  const length = Number(get("content-length") ?? 0);
  const start = end + HEAD_END.length;
  if (text.length < start + length) return undefined;
  const [method, path] = head.split(" ");
  return {
    method,
    path,
    get,
    body: text.slice(start, start + length),
    left: text.slice(start + length),
  };
};

/** Creates a group of engines that copy runs to each other; `record` takes a line for the record. */
export const createEngineGroup = (record) => {
  const engines = new Map();
  let handles = 0;

  const start = ({ name, zone, isUnframed }) =>
    new Promise((resolve) => {
      /** Runs by request id. */
      const runs = new Map();
      /** Copies that were made here for runs of other engines, and runs stopped here: by "address/handle". */
      const copies = new Map();
      let linkFreeAt = 0;
      let isDraining = false;
      const sockets = new Set();

      const countRun = (run) => run.prompt + run.made * TOKENS_PER_EVENT;
      const sum = (all) => [...all].reduce((total, tokens) => total + tokens, 0);
      const countUsed = () =>
        sum([...runs.values()].map(countRun)) +
        sum([...copies.values()].map(({ tokens }) => tokens));
      const hasRoom = (tokens) =>
        runs.size + copies.size < SLOTS && countUsed() + tokens <= MEMORY_TOKENS;

      const send = (socket, line, headers, body = "") =>
        socket.write(
          `HTTP/1.1 ${line}\r\n${headers}Content-Length: ${Buffer.byteLength(body)}${HEAD_END}${body}`,
        );
      const sendJson = (socket, line, value) =>
        send(socket, line, "Content-Type: application/json\r\n", JSON.stringify(value));

      const writeEvent = ({ socket, id, made, isChunked }) => {
        const event = formatEvent(id, made);
        socket.write(isChunked ? `${event.length.toString(16)}\r\n${event}\r\n` : event);
      };
      const generate = async (run) => {
        await wait(run.promptLeft / PROMPT_TOKENS_PER_MS);
        while (runs.get(run.id) === run) {
          if (run.made === run.total) {
            runs.delete(run.id);
            record(`${name} has made all ${run.total} events of ${run.id}`);
            run.socket.end(run.isChunked ? "0\r\n\r\n" : undefined);
            return;
          }
          writeEvent(run);
          run.made += 1;
          await wait(EVENT_MS);
        }
      };
      const begin = (socket, { id, prompt, total, made, promptLeft }) => {
        const isChunked = !isUnframed(id);
        const framing = isChunked ? "Transfer-Encoding: chunked\r\n" : "";
        const run = {
          id,
          socket,
          prompt,
          total,
          made,
          promptLeft,
          isChunked,
          moving: false,
          handle: undefined,
          copied: 0,
        };
        runs.set(id, run);
        socket.write(
          `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: ${name}.${id}\r\n` +
            `Content-Type: text/event-stream\r\n${framing}Connection: close${HEAD_END}`,
        );
        socket.once("close", () => {
          if (runs.get(id) !== run) return;
          runs.delete(id);
          record(`${name} drops ${id}: its connection was closed`);
        });
        void generate(run);
      };
      const startStream = (socket, { get }) => {
        const id = get("request-id");
        const [prompt, out] = get("token-usage").split(",").map(Number);
        const total = Math.ceil(out / TOKENS_PER_EVENT);
        const last = get("last-event-id");
        const made = last === undefined ? 0 : Number(last) + 1;
        const from = get("kv-from");
        const rejected = () =>
          send(socket, "503 Service Unavailable", "Not-Executed: 1\r\n");
        if (from === undefined) {
          if (!hasRoom(prompt + out)) return rejected();
          record(`${name} runs ${id}`);
          return begin(socket, { id, prompt, total, made, promptLeft: prompt });
        }
        const copy = copies.get(from);
        if (!copy || copy.id !== id) return rejected();
        copies.delete(from);
        record(`${name} goes on with ${id} at event ${made}, from ${from}`);
        return begin(socket, {
          id,
          prompt,
          total,
          made,
          promptLeft: Math.max(0, prompt + made * TOKENS_PER_EVENT - copy.tokens),
        });
      };

      const stop = (run) => {
        runs.delete(run.id);
        record(
          `${name} stops ${run.id} behind event ${run.made - 1} of ${run.total} for a copy`,
        );
        run.socket.end();
      };
      const move = async (socket, { body }) => {
        const { id, targetVersion, last } = JSON.parse(body);
        const run = runs.get(id);
        const target = engines.get(targetVersion);
        if (!run || run.made === 0) return sendJson(socket, "404 Not Found", {});
        if (run.moving) return sendJson(socket, "409 Conflict", {});
        const isNew = run.target !== targetVersion;
        if (isNew && run.handle !== undefined)
          engines.get(run.target)?.dropCopy(`${address}/${run.handle}`);
        if (last) stop(run);
        const tokens = countRun(run);
        const toCopy = isNew ? tokens : tokens - run.copied;
        if (isNew && !target?.hasRoom(tokens)) {
          if (!last) return sendJson(socket, "503 Service Unavailable", {});
          handles += 1;
          copies.set(`${address}/h${handles}`, { id, tokens });
          return sendJson(socket, "503 Service Unavailable", { handle: `h${handles}` });
        }
        if (isNew) {
          handles += 1;
          run.handle = `h${handles}`;
          run.target = targetVersion;
          run.copied = 0;
        }
        const { handle } = run;
        const key = `${address}/${handle}`;
        if (isNew) target.putCopy(key, { id, tokens });
        if (last) copies.set(key, { id, tokens });
        run.moving = true;
        const now = performance.now();
        const factor = target.zone === zone ? 1 : FAR_FACTOR;
        linkFreeAt = Math.max(now, linkFreeAt) + toCopy * MS_PER_COPIED_TOKEN * factor;
        await wait(linkFreeAt - now);
        run.moving = false;
        run.copied = tokens;
        target.updateCopy(key, tokens);
        setTimeout(() => copies.delete(key), HANDLE_MS);
        return sendJson(socket, "200 OK", { handle, made: run.made });
      };
      const report = (socket) =>
        sendJson(socket, "200 OK", {
          stage: "dual",
          state: isDraining ? "draining" : "ready",
          models: [{ name: "m", version: 1, adapters: [] }],
          busy: false,
          sequence: 1,
          waiting: 0,
          running: runs.size,
          kvUsed: countUsed(),
          kvTotal: MEMORY_TOKENS,
          handles: copies.size,
          nextPageToken: 0,
          runs: [...runs.values()].map((run) => [run.id, countRun(run), run.made, 5]),
        });

      const serve = (socket, request) => {
        const { method, path, get } = request;
        const expected = get("expect-instance");
        if (expected !== undefined && expected !== name)
          return send(socket, "421 Misdirected Request", "Not-Executed: 1\r\n");
        if (path === "/healthz") {
          const line = isDraining ? "503 Service Unavailable" : "200 OK";
          return send(socket, line, `Instance-Id: ${name}\r\n`);
        }
        if (path === "/report") return report(socket);
        if (path === "/kv-move") return void move(socket, request);
        if (method === "DELETE" && path.startsWith("/kv-handle/")) {
          const key = `${address}/${path.slice("/kv-handle/".length)}`;
          for (const engine of engines.values()) engine.dropCopy(key);
          return send(socket, "200 OK", "");
        }
        return startStream(socket, request);
      };
      let address;
      const server = createServer((socket) => {
        let text = "";
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", (bytes) => {
          text += bytes.toString("latin1");
          for (let request = parse(text); request; request = parse(text)) {
            text = request.left.replace(/^(\r\n)+/, "");
            serve(socket, request);
          }
        });
      });
      server.listen(0, HOST, () => {
        address = `${HOST}:${server.address().port}`;
        const engine = {
          name,
          zone,
          address,
          hasRoom,
          countRuns: () => runs.size,
          drain: () => {
            isDraining = true;
          },
          putCopy: (key, copy) => void copies.set(key, copy),
          updateCopy: (key, tokens) => {
            const copy = copies.get(key);
            if (copy) copies.set(key, { ...copy, tokens });
          },
          dropCopy: (key) => void copies.delete(key),
          close: () => {
            server.close();
            for (const socket of sockets) socket.destroy();
          },
        };
        engines.set(address, engine);
        resolve(engine);
      });
    });
  return { start };
};
