/**
 * ORDER: a model server is cut off from the store for a few seconds, so that its entry lapses and comes back. Runs that
 * the box still stops there after that end as complete streams, though they have pieces left, if their answers have no
 * length. TROUBLE=0 cuts nothing, and all answers are chunked. Writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
import { writeFileSync } from "node:fs";
import { request as openRequest } from "node:http";
import { fileURLToPath } from "node:url";
import { SITE_HOST, SITE_KEY, startUsersSite } from "@stairgauge/standins";
import { HOST, startBoxes, wait } from "../lib/site.mjs";
import { createEngineGroup, formatEvent } from "../lib/streamEngine.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const ENGINES = 5;
/**
 * `srv_cut` of the site: share (.2), for_s (5). One of five servers, for 3.8 s, from a heartbeat on. The engines that are
 * cut off are the only ones of their zones, so that copies from them take twice as long.
 */
const CUT_MS = 3_800;
/** `garble`, no length (`unframed`): share (.5), x 0.05, for_s 5. Two of five servers, every 20th answer, for 4.8 s. */
const GARBLED = [1, 2];
const EVERY = 20;
const ZONES = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-d"];
/** heartbeatMs, and the silence after which the store drops an entry. */
const BEAT_MS = 1_200;
const LAPSE_MS = 3 * BEAT_MS;
const RETRY_MS = 100;
const STREAMS = 80;
const STREAM_GAP_MS = 60;
const CUT_AFTER_MS = 1_800;
const PROMPT = 600;
const EVENTS = 236;
const ROUNDS = 8;

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
const group = createEngineGroup(record);
let isGarbling = false;
const unframed = new Set();
const engines = [];
const putEntry = ({ name, address, zone }) =>
  site.putRawEntry(name, {
    service: "writers",
    address,
    zone,
    version: "v1",
    slots: 48,
    state: "ready",
    warmupLeftMs: 0,
    sequence: 1,
  });
for (let i = 0; i < ENGINES; i += 1) {
  let answers = 0;
  const isUnframed = (id) => {
    if (!isGarbling || !GARBLED.includes(i)) return false;
    answers += 1;
    if (answers % EVERY !== 0) return false;
    unframed.add(id);
    record(`the answer to ${id} has no length`);
    return true;
  };
  const engine = await group.start({ name: `engine-${i}`, zone: ZONES[i], isUnframed });
  engines.push({ ...engine, isCut: false, beatAt: performance.now(), isListed: true });
  putEntry(engine);
}
site.putConfiguration();

/** Heartbeats: each engine writes every BEAT_MS, a write that fails soon again; the store drops a silent entry. */
const beat = (engine) => {
  if (engine.isCut) {
    setTimeout(() => beat(engine), RETRY_MS).unref();
    return;
  }
  engine.beatAt = performance.now();
  if (!engine.isListed) {
    engine.isListed = true;
    putEntry(engine);
    record(`the entry of ${engine.name} is back`);
  }
  setTimeout(() => beat(engine), BEAT_MS).unref();
};
const lapse = () => {
  for (const engine of engines) {
    if (!engine.isListed || performance.now() - engine.beatAt < LAPSE_MS) continue;
    engine.isListed = false;
    site.dropEntry(engine.name);
    record(`the entry of ${engine.name} lapses`);
  }
  setTimeout(lapse, 20).unref();
};
for (const engine of engines) beat(engine);
lapse();

const fleet = await startBoxes({ count: 2, storeAddress: site.store.address });
const stop = async () => {
  await fleet.stop();
  for (const { close } of engines) close();
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
    let text = "";
    const end = (status, isComplete) => {
      const events = text.split("\n\n").length - 1;
      const expected = Array.from({ length: EVENTS }, (_, i) => formatEvent(id, i)).join(
        "",
      );
      const isWhole = text === expected;
      const isPrefix = expected.startsWith(text);
      answered.push({ id, status, events, isComplete, isWhole, isPrefix });
      const form = isComplete ? "complete" : "broken off";
      record(
        `${id} at ${box.name}: status ${status}, ${events} of ${EVENTS} events, ${form}`,
      );
      resolve();
    };
    const asked = openRequest({
      host: HOST,
      port: box.ports[0],
      path: "/draft/1",
      method: "POST",
      agent: false,
      headers: {
        Host: SITE_HOST,
        "Request-Id": id,
        "Deadline-Ms": "30000",
        Authorization: `Token ${SITE_KEY}`,
        Model: "m",
        "Token-Usage": `${PROMPT},${EVENTS * 4}`,
        "Length-Hint": String(EVENTS * 4),
        "Content-Length": "5",
      },
    });
    asked.on("response", (answer) => {
      answer.on("data", (bytes) => {
        text += bytes.toString("latin1");
      });
      answer.on("error", () => undefined);
      answer.on("close", () => end(answer.statusCode, answer.complete));
    });
    asked.on("error", (error) => end(error.code, false));
    asked.end("hello");
  });

const asks = [];
/** Cuts an engine off right after its next heartbeat. */
const cutOff = async (engine) => {
  const before = engine.beatAt;
  while (engine.beatAt === before) await wait(5);
  engine.isCut = true;
  record(`${engine.name} is cut off from the store; it has ${engine.countRuns()} runs`);
  await wait(CUT_MS);
  engine.isCut = false;
  record(`${engine.name} reaches the store again; it has ${engine.countRuns()} runs`);
};
for (let round = 0; round < ROUNDS; round += 1) {
  const engine = engines[GARBLED[round % GARBLED.length]];
  isGarbling = isTrouble;
  const cut = wait(CUT_AFTER_MS).then(() => (isTrouble ? cutOff(engine) : undefined));
  for (let i = 0; i < STREAMS; i += 1) {
    asks.push(ask(`s${round}-${i}`, fleet.boxes[i % fleet.boxes.length]));
    await wait(STREAM_GAP_MS);
  }
  isGarbling = false;
  await Promise.all([...asks, cut]);
}
await stop();

const broken = answered.filter(
  ({ status, isComplete, isWhole, isPrefix }) =>
    status === 200 && ((isComplete && !isWhole) || !isPrefix),
);
const whole = answered.filter(({ isWhole, isComplete }) => isWhole && isComplete).length;
const facts =
  `${answered.length} streams, ${unframed.size} answers without a length, ${whole} whole and complete; ${broken.length} ended as complete before their last piece` +
  (broken.length > 0
    ? ` (${broken.map(({ id, events }) => `${id}: ${events} of ${EVENTS}`).join(", ")})`
    : "");
if (whole === 0) finish(2, `no stream was served: ${facts}`);
finish(
  broken.length > 0 ? 1 : 0,
  `ORDER ${broken.length > 0 ? "broken" : "held"}: ${facts}`,
);
