/**
 * Replays a load on a virtual clock: servers are a counter of slots with service times, clients send
 * at random times and may retry after a refusal.
 */
import {
  createSeededRandom,
  createVirtualClock,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import { createAdmissionQueue, createFairShares, type AdmissionEvent } from "./index.js";

export const PLAIN = "plain" as ServiceName;

/** A kind of client requests. */
export type Stream = Readonly<{
  workspace: string;
  perSecond: number;
  subject?: string;
  tier?: number;
  /** Time in which the answer is wanted, and the deadline, from the first attempt. */
  aimMs?: number;
  endsMs?: number;
  fromMs?: number;
  untilMs?: number;
  /** What a refused client does; it gives up at its deadline. */
  retry?: "none" | "at_once" | "as_told";
}>;

/** What became of a request. */
export type Outcome = {
  readonly stream: Stream;
  readonly sentAt: number;
  attempts: number;
  placedAt: number | undefined;
  answeredAt: number | undefined;
  readonly refusedAt: number[];
  readonly retryAfter: number[];
};

/** A load, and the servers that it meets. */
export type Load = Readonly<{
  slots: number;
  workMs: number;
  durationMs: number;
  streams: readonly Stream[];
  seed?: number;
  /** Number of slots that the queue is told; undefined if it is told none. */
  toldSlots?: number | undefined;
  /** Share by which service times vary to either side. */
  variation?: number;
}>;

/** Time for all requests to end after the last was sent. */
const DRAIN_MS = 15_000;
/** A client that retries at once needs this long for it. */
const AT_ONCE_MS = 5;

/** Counts of a stream's outcomes. */
export const countOutcomes = (outcomes: readonly Outcome[], workspace: string) => {
  const own = outcomes.filter(({ stream }) => stream.workspace === workspace);
  const served = own.filter((one) => one.answeredAt !== undefined);
  const isOnTime = ({ stream, sentAt, answeredAt }: Outcome) =>
    answeredAt! - sentAt <= (stream.aimMs ?? 300);
  const isInTime = ({ stream, sentAt, answeredAt }: Outcome) =>
    answeredAt! - sentAt <= (stream.endsMs ?? 4_000);
  return {
    sent: own.length,
    served: served.length / own.length,
    onTime: served.filter(isOnTime).length / own.length,
    pastDeadline: served.filter((one) => !isInTime(one)).length,
    refusals: own.reduce((sum, one) => sum + one.refusedAt.length, 0),
    attempts: own.reduce((sum, one) => sum + one.attempts, 0),
  };
};

/** Replays the load. */
export const replayLoad = (load: Load) => {
  const { slots, workMs, durationMs, streams } = load;
  const clock = createVirtualClock();
  const random = createSeededRandom(load.seed ?? 7);
  const events: AdmissionEvent[] = [];
  const outcomes: Outcome[] = [];
  let taken = 0;
  let busyMs = 0;
  const queue = createAdmissionQueue({
    clock,
    shares: createFairShares(),
    retryAfter: 400 as Ms,
    countSlots: () => load.toldSlots,
    onEvent: (event) => events.push(event),
  });

  const startWork = (outcome: Outcome): boolean => {
    if (taken >= slots) return false;
    taken += 1;
    outcome.placedAt = clock.monotonic();
    const spread = 1 + (load.variation ?? 0.3) * (2 * random.nextFloat() - 1);
    clock.setTimer((workMs * spread) as Ms, () => {
      taken -= 1;
      if (clock.monotonic() <= durationMs) busyMs += workMs * spread;
      outcome.answeredAt = clock.monotonic();
      queue.onRoom(PLAIN);
    });
    return true;
  };
  const send = (outcome: Outcome) => {
    const { stream, sentAt } = outcome;
    const endsAt = sentAt + (stream.endsMs ?? 4_000);
    outcome.attempts += 1;
    queue.add({
      kind: "plain",
      service: PLAIN,
      tier: stream.tier ?? 1,
      workspace: stream.workspace,
      subject: stream.subject ?? "key",
      cost: workMs,
      arrivedAt: clock.monotonic(),
      aimAt: (clock.monotonic() + (stream.aimMs ?? 300)) as Ms,
      endsAt: endsAt as Ms,
      workMs: workMs as Ms,
      attempt: () => startWork(outcome),
      refuse: (retryAfter) => handleRefusal(outcome, retryAfter, endsAt),
    });
  };
  const handleRefusal = (outcome: Outcome, retryAfter: number, endsAt: number) => {
    outcome.refusedAt.push(clock.monotonic());
    outcome.retryAfter.push(retryAfter);
    const { retry = "none" } = outcome.stream;
    const pause = retry === "at_once" ? AT_ONCE_MS : retryAfter;
    if (retry === "none" || clock.monotonic() + pause >= endsAt) return;
    clock.setTimer(pause as Ms, () => send(outcome));
  };
  const scheduleArrival = (stream: Stream) => {
    const pause = (-Math.log(1 - random.nextFloat()) * 1_000) / stream.perSecond;
    clock.setTimer(pause as Ms, () => {
      if (clock.monotonic() >= (stream.untilMs ?? durationMs)) return;
      const outcome: Outcome = {
        stream,
        sentAt: clock.monotonic(),
        attempts: 0,
        placedAt: undefined,
        answeredAt: undefined,
        refusedAt: [],
        retryAfter: [],
      };
      outcomes.push(outcome);
      send(outcome);
      scheduleArrival(stream);
    });
  };
  for (const stream of streams)
    clock.setTimer((stream.fromMs ?? 0) as Ms, () => scheduleArrival(stream));
  clock.advance((durationMs + DRAIN_MS) as Ms);
  return { outcomes, events, queue, utilization: busyMs / (slots * durationMs) };
};
