/** The decisions of boxes that are measured. A new decision is one more entry of `DECISIONS`. */
import { createAdmissionQueue, createFairShares } from "@stairgauge/admission";
import {
  createSeededRandom,
  createVirtualClock,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import { createPlaceHub } from "@stairgauge/fleet";
import { applyUpdate, decodeUpdate, encodeUpdate } from "@stairgauge/peers";
import {
  chooseServer,
  computeFleetShare,
  ENGINE_WAYS,
  type Demand,
  type LoadRegistry,
} from "@stairgauge/placement";
import type { DecisionDescriptor } from "./measureDecision.js";
import {
  createRegistry,
  HALL,
  listEngines,
  listPlainServers,
  makeQuestion,
  makeUpdate,
  toEngineId,
} from "./siteState.js";

const GENERATION: Demand = {
  tier: 1,
  tokens: { prompt: 3_079, expectedOut: 744, isMovable: true },
};
const PLAIN: Demand = { tier: 1, tokens: undefined };

/** Requests per second that a cold engine may get, in the second deployment. */
const COLD_PER_SECOND = 26;

const TIERS = 3;
const WORKSPACES = 24;
const PLAIN_WORK_MS = 61.2 as Ms;
/** No request expires while it is measured. */
const FAR_MS = 1e9 as Ms;

/** Longer than a hub reserves a place that the asking box does not confirm. */
const RESERVED_MS = 1_000 as Ms;

/** The default of the setting `clients.retryAfterMs`. */
const RETRY_AFTER_MS = 400 as Ms;

const drop = () => undefined;

const createChooser = (registry: LoadRegistry, candidates: readonly BackendServer[]) => {
  const random = createSeededRandom(1);
  return (demand: Demand) =>
    chooseServer({
      candidates,
      demand,
      registry,
      ownHall: HALL,
      way: ENGINE_WAYS.short_queue,
      expectedCompetitors: 0,
      now: 0 as Ms,
      random,
    });
};

const prepareHub = (boxes: number) => {
  const clock = createVirtualClock();
  const registry = createRegistry(boxes);
  const choose = createChooser(registry, listEngines());
  const hub = createPlaceHub({
    clock,
    registry,
    placer: {
      chooseForOther: (_service, demand) => choose(demand),
      recordArrival: drop,
      recordSend: drop,
    },
    waitQueue: createAdmissionQueue({
      clock,
      shares: createFairShares(),
      retryAfter: RETRY_AFTER_MS,
    }),
  });
  const { signal } = new AbortController();
  return async (i: number) => {
    await hub.answer(makeQuestion(i, boxes), signal);
    // The reserved place expires, so that the number of runs stays the same.
    clock.advance(RESERVED_MS);
  };
};

/** Requests waiting at the admitting box: what two servers with 4 slots complete in a second. */
const WAITING_REQUESTS = 133;

/** A queue that stays full: a request is added for each one that a completion places. */
const prepareAdmission = (boxes: number) => {
  const clock = createVirtualClock();
  const queue = createAdmissionQueue({
    clock,
    shares: createFairShares(),
    retryAfter: RETRY_AFTER_MS,
  });
  let free = 0;
  const add = (i: number) =>
    queue.add({
      kind: "plain",
      service: "plain" as ServiceName,
      tier: i % TIERS,
      workspace: `workspace-${i % WORKSPACES}`,
      subject: `box-${i % boxes}`,
      cost: PLAIN_WORK_MS,
      workMs: PLAIN_WORK_MS,
      arrivedAt: 0 as Ms,
      aimAt: FAR_MS,
      endsAt: FAR_MS,
      attempt: () => free-- > 0,
      refuse: drop,
    });
  for (let i = 0; i < WAITING_REQUESTS; i += 1) add(i);
  return (i: number) => {
    add(i);
    free = 1;
    queue.onRoom("plain" as ServiceName);
    free = 0;
  };
};

const prepareApplying = (boxes: number) => {
  const sinks = {
    registry: createRegistry(boxes),
    onLeaving: drop,
    onReport: drop,
    onBroken: drop,
    onAnswered: drop,
    onCrashes: drop,
    onLimits: drop,
    isListed: () => true,
    onEnded: drop,
    onContended: drop,
  };
  return (i: number) => applyUpdate(sinks, makeUpdate(i, boxes));
};

export const DECISIONS: readonly DecisionDescriptor[] = [
  {
    name: "choose a plain server",
    prepare: (boxes) => {
      const choose = createChooser(createRegistry(boxes), listPlainServers());
      return () => choose(PLAIN);
    },
  },
  {
    name: "choose an engine",
    prepare: (boxes) => {
      const choose = createChooser(createRegistry(boxes), listEngines());
      return () => choose(GENERATION);
    },
  },
  { name: "answer a place question (hub)", prepare: prepareHub },
  { name: "admit a plain request that waits for a slot", prepare: prepareAdmission },
  { name: "apply an update of another box", prepare: prepareApplying },
  {
    name: "encode an update",
    prepare: (boxes) => (i) => encodeUpdate(makeUpdate(i, boxes)),
  },
  {
    name: "decode an update",
    prepare: (boxes) => {
      const bytes = encodeUpdate(makeUpdate(1, boxes));
      return () => decodeUpdate(bytes);
    },
  },
  {
    name: "divide capacity among boxes",
    prepare: (boxes) => (i) =>
      computeFleetShare(
        COLD_PER_SECOND,
        { rank: i % boxes, boxes, isPlacedByFirst: true },
        toEngineId(i),
      ),
  },
];
