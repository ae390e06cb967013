/**
 * ORDER: a model server is cut off from the store for a few seconds, so that its entry lapses and comes back. Runs that
 * the box still stops there after that end as complete streams, though they have pieces left. TROUBLE=0 cuts nothing.
 * Writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
import { writeFileSync } from "node:fs";
import { request as openRequest } from "node:http";
import { fileURLToPath } from "node:url";
import { SITE_HOST, SITE_KEY, startUsersSite } from "@stairgauge/standins";
import { HOST, startBoxes, wait } from "../lib/site.mjs";
import { createEngineGroup, formatEvent } from "../lib/streamEngine.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const ENGINES = 5;
/** One of five servers (share 0.2), for 3.9 s: `srv_cut` says share (.2), for_s (5). */
const CUT_MS = 3_900;
/** heartbeatMs, and the silence after which the store drops an entry. */
const BEAT_MS = 1_200;
const LAPSE_MS = 3 * BEAT_MS;
const RETRY_MS = 300;
const STREAMS = 24;
const PROMPT = 3_079;
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
const engines = [];
for (let i = 0; i < ENGINES; i += 1) {
  const engine = await group.start(`engine-${i}`);
  engines.push({ ...engine, isCut: false, beatAt: performance.now(), isListed: true });
  site.putEngine(engine.name, engine.address);
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
    site.putEngine(engine.name, engine.address);
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
for (let round = 0; round < ROUNDS; round += 1) {
  for (let i = 0; i < STREAMS; i += 1) {
    asks.push(ask(`s${round}-${i}`, fleet.boxes[i % fleet.boxes.length]));
    await wait(40);
  }
  const cut = engines[round % ENGINES];
  if (isTrouble) {
    cut.isCut = true;
    record(`${cut.name} is cut off from the store; it has ${cut.countRuns()} runs`);
  }
  await wait(CUT_MS);
  if (isTrouble)
    record(`${cut.name} reaches the store again; it has ${cut.countRuns()} runs`);
  cut.isCut = false;
  await Promise.all(asks);
  await wait(1_500);
}
await stop();

const broken = answered.filter(
  ({ status, isComplete, isWhole, isPrefix }) =>
    status === 200 && ((isComplete && !isWhole) || !isPrefix),
);
const whole = answered.filter(({ isWhole, isComplete }) => isWhole && isComplete).length;
const facts =
  `${answered.length} streams, ${whole} whole and complete; ${broken.length} ended as complete before their last piece` +
  (broken.length > 0
    ? ` (${broken.map(({ id, events }) => `${id}: ${events} of ${EVENTS}`).join(", ")})`
    : "");
if (whole === 0) finish(2, `no stream was served: ${facts}`);
finish(
  broken.length > 0 ? 1 : 0,
  `ORDER ${broken.length > 0 ? "broken" : "held"}: ${facts}`,
);
