/** The messages between boxes that are measured. A new kind is one more entry of `MESSAGES`. */
import {
  createSeededRandom,
  createVirtualClock,
  type BoxName,
  type Ms,
} from "@stairgauge/common";
import { NO_CRASH_UPDATE } from "@stairgauge/crashes";
import { NO_LIMIT_UPDATE } from "@stairgauge/limits";
import {
  countHubs,
  createRunReporter,
  encodePlaceAnswer,
  encodePlaceQuestion,
  encodeUpdate,
  hasHubs,
} from "@stairgauge/peers";
import { createLoadRegistry } from "@stairgauge/placement";
import type { MessageDescriptor } from "./measureDecision.js";
import { makeQuestion, makeRun, toEngineId } from "./siteState.js";

const MS_PER_S = 1_000;
/** Long streams last about this long; the first event arrives after `FIRST_EVENT_MS`. */
const RUN_MS = 5_000 as Ms;
const FIRST_EVENT_MS = 800 as Ms;
const REQUESTS = 200;

/** Links over which a box sends its updates. */
const countLinks = (boxes: number) => (hasHubs(boxes) ? countHubs(boxes) : boxes - 1);

/** Returns the bytes per second of one box's updates on one link. */
const measureUpdates = (boxes: number, requestsPerSecond: number): number => {
  const clock = createVirtualClock();
  let bytes = 0;
  const reporter = createRunReporter({
    clock,
    own: "box-1" as BoxName,
    registry: createLoadRegistry(),
    send: (update) => {
      bytes += encodeUpdate(update).length;
    },
    sendToSome: () => undefined,
    listLeaving: () => [],
    listCrashes: () => NO_CRASH_UPDATE,
    listLimits: () => NO_LIMIT_UPDATE,
  });
  const registry = createLoadRegistry(reporter.recordChange);
  const random = createSeededRandom(1);
  const meanGap = (MS_PER_S * boxes) / requestsPerSecond;
  for (let i = 0; i < REQUESTS; i += 1) {
    const server = toEngineId(i);
    const run = { ...makeRun(i), hasBegun: false };
    registry.addRun(server, run);
    clock.setTimer(FIRST_EVENT_MS, () => registry.markBegun(server, run.id));
    clock.setTimer(RUN_MS, () => registry.removeRun(server, run.id));
    clock.advance((-Math.log(1 - random.nextFloat()) * meanGap) as Ms);
  }
  const duration = clock.monotonic();
  clock.advance((RUN_MS * 2) as Ms);
  return (bytes * MS_PER_S) / duration;
};

const measureQuestions = (boxes: number, requestsPerSecond: number): number => {
  if (!hasHubs(boxes)) return 0;
  const question = encodePlaceQuestion(makeQuestion(1, boxes));
  const answer = encodePlaceAnswer({
    kind: "placed",
    server: toEngineId(1),
    reason: "most_free_memory",
    load: 0.512,
    memoryAfter: 0.634,
    reportAge: 712 as Ms,
    candidates: 42,
  });
  return ((question.length + answer.length) * requestsPerSecond) / boxes;
};

export const MESSAGES: readonly MessageDescriptor[] = [
  {
    name: "updates sent by a box",
    measureBytes: (boxes, rate) => measureUpdates(boxes, rate) * countLinks(boxes),
  },
  {
    name: "updates received by a hub",
    measureBytes: (boxes, rate) => measureUpdates(boxes, rate) * (boxes - 1),
  },
  { name: "place questions and answers of a box", measureBytes: measureQuestions },
];
