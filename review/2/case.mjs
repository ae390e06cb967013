/**
 * CONFIG: requests whose server answers with one wrong byte in its status line never get a final answer.
 * TROUBLE=0 leaves the bytes as they are. Writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the
 * case couldn't run.
 */
import { writeFileSync } from "node:fs";
import { request as openRequest } from "node:http";
import { fileURLToPath } from "node:url";
import { SITE_HOST, SITE_KEY, startUsersSite } from "@stairgauge/standins";
import { startPlainServer } from "../lib/plainServer.mjs";
import { HOST, startBoxes, wait } from "../lib/site.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const SERVERS = 5;
/** `garble`: two of five servers (0.4), every 50th answer (0.02), 5.5 s at a time. */
const GARBLED = 2;
const EVERY = 50;
const SPELL_MS = 5_500;
const PAUSE_MS = 2_000;
const SPELLS = 8;
const PER_SECOND = 70;
/** The route's timeoutMs in the stand-in's configuration, and what the rule adds. */
const TIMEOUT_MS = 2_000;
const SLACK_MS = 500;
const DEADLINE_MS = 4_000;
/** The rule's bounds. */
const MIN_LATE = 8;
const MAX_SHARE = 0.25;

const lines = [];
const begunAt = performance.now();
const record = (text) =>
  lines.push(`${((performance.now() - begunAt) / 1000).toFixed(3)} ${text}`);
const finish = (code, verdict) => {
  record(verdict);
  writeFileSync(
    fileURLToPath(new URL("record.txt", import.meta.url)),
    `${lines.join("\n")}\n`,
  );
  process.stdout.write(`${verdict}\n`);
  process.exit(code);
};

const site = await startUsersSite({ engines: 0, services: 0 });
let isGarbling = false;
const runs = new Map();
const spoiled = new Set();
const servers = [];
for (let i = 0; i < SERVERS; i += 1) {
  let answers = 0;
  const spoil = (answer, id) => {
    if (!isGarbling || i >= GARBLED) return answer;
    answers += 1;
    if (answers % EVERY !== 0) return answer;
    // "HTTP/1.1 200 OK": the K becomes a control character.
    const changed = Buffer.from(answer);
    changed[changed.indexOf("OK") + 1] = 0x01;
    spoiled.add(id);
    record(`spoiled the answer to ${id}`);
    return changed;
  };
  const name = `page-${i}`;
  const onRun = (id) => {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    record(`${name} runs ${id}`);
  };
  const server = await startPlainServer({ name, workMs: 20, onRun, spoil });
  servers.push(server);
  site.putService(name, server.address);
}
site.putConfiguration();
const fleet = await startBoxes({ count: 2, storeAddress: site.store.address });
const stop = async () => {
  await fleet.stop();
  for (const { close } of servers) close();
  site.close();
};
if (!(await fleet.awaitReady())) {
  await stop();
  finish(2, "a box did not become ready");
}
await wait(2_000);

const answered = [];
const ask = (id, box) =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const end = (outcome) => {
      clearTimeout(timer);
      const took = Math.round(performance.now() - sentAt);
      record(`${id} at ${box.name}: ${outcome} after ${took} ms`);
      answered.push({ id, outcome, took });
      resolve();
    };
    const asked = openRequest({
      host: HOST,
      port: box.ports[0],
      path: "/once/1",
      method: "POST",
      agent: false,
      headers: {
        Host: SITE_HOST,
        "Request-Id": id,
        "Deadline-Ms": String(DEADLINE_MS),
        Authorization: `Token ${SITE_KEY}`,
        "Content-Length": "5",
      },
    });
    const timer = setTimeout(() => {
      asked.removeAllListeners("error");
      asked.on("error", () => undefined);
      asked.destroy();
      end("no answer");
    }, DEADLINE_MS);
    asked.on("response", (answer) => {
      answer.resume();
      answer.on("end", () => end(`status ${answer.statusCode}`));
      answer.on("error", () => undefined);
    });
    asked.on("error", (error) => end(`closed (${error.code})`));
    asked.end("hello");
  });

const asks = [];
const sendFor = async (duration) => {
  const until = performance.now() + duration;
  for (let next = performance.now(); next < until; next += 1000 / PER_SECOND) {
    if (next > performance.now()) await wait(next - performance.now());
    const n = asks.length + 1;
    asks.push(ask(`r${n}`, fleet.boxes[n % fleet.boxes.length]));
  }
};
for (let spell = 0; spell < SPELLS; spell += 1) {
  await sendFor(PAUSE_MS);
  isGarbling = isTrouble;
  await sendFor(SPELL_MS);
  isGarbling = false;
}
await sendFor(PAUSE_MS);
await Promise.all(asks);
const ends = fleet.boxes
  .filter(({ ended }) => ended)
  .map(({ name, end }) => `${name}: ${end}`);
await stop();

const outlasting = answered.filter(
  ({ outcome, took }) => outcome === "no answer" || took > TIMEOUT_MS,
);
const late = outlasting.filter(
  ({ outcome, took }) => outcome === "no answer" || took > TIMEOUT_MS + SLACK_MS,
);
const facts =
  `${answered.length} requests, ${spoiled.size} answers spoiled; ${outlasting.length} outlasted timeoutMs, ` +
  `${late.length} of them without a final answer ${SLACK_MS} ms later ` +
  `(${late.filter(({ id }) => runs.has(id)).length} had run); boxes that ended: ${ends.join(", ") || "none"}`;
if (isTrouble && spoiled.size === 0) finish(2, `nothing was spoiled: ${facts}`);
const isBroken = late.length >= MIN_LATE && late.length > MAX_SHARE * outlasting.length;
finish(isBroken ? 1 : 0, `CONFIG ${isBroken ? "broken" : "held"}: ${facts}`);
