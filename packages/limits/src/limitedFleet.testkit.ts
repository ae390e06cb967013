/**
 * Simulates a fleet of boxes and one server that names a limit, on a virtual clock. Boxes receive
 * the limit by answers and from other boxes, both with delays. Some boxes freeze, some are cut off
 * from the others, and the list of boxes changes during the run.
 */
import {
  createSeededRandom,
  createVirtualClock,
  type BoxName,
  type DataHallName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import { createFleetPlaces } from "@stairgauge/placement";
import { createServerLimits, type ServerLimits } from "./serverLimits.js";
import type { LimitUpdate } from "./types.js";

const SERVICE = "pages" as ServiceName;

const SERVER: BackendServer = {
  entry: {
    id: "page-0@1" as ServerId,
    name: "page-0" as ServerName,
    startedAt: 1 as Ms,
    service: SERVICE,
    address: { host: "10.0.0.1", port: 80 },
    dataHall: "hall" as DataHallName,
    slots: 6,
    isLeaving: false,
    warmUpLeft: 0 as Ms,
  },
  leaving: undefined,
};

/**
 * Up to this many boxes, each sends its updates to all others; beyond that a few hubs forward them.
 */
const MESH_BOXES = 12;
const HUBS = 4;

/**
 * Longest delays: of a message to another box, of a request to the server including the connection
 * setup, and of an answer.
 */
const LINK_MS = 40;
const SEND_MS = 250;
const ANSWER_MS = 25;
/** Longest time until a change of the list of boxes has reached all boxes. */
const LIST_MS = 600;

/** Time from which the server names its limit. By then the boxes have the list of boxes. */
export const LIMIT_NAMED_AT_MS = 8_000;

/** Parameters of one simulation run. */
export type FleetScenario = Readonly<{
  boxes: number;
  /** The limit that the server names. */
  perSecond: number;
  /** Requests per second that clients send through all boxes together. */
  requestsPerSecond: number;
  /** The same from when the limit is named; unchanged if undefined. */
  requestsPerSecondOnceNamed?: number;
  durationMs: number;
  seed: number;
  /**
   * Shares of the boxes that freeze for seconds, that are cut off from all other boxes, and that
   * are removed from the list during the run.
   */
  frozenShare?: number;
  cutOffShare?: number;
  removedShare?: number;
  /** Whether the first box of the list places the requests of all boxes. */
  isPlacedByFirst?: boolean;
  /** Time from which the server no longer names its limit. */
  unnamedAt?: number;
}>;

/**
 * A request as received by the server. `hasSignal` is set if the server names its limit at that time.
 */
export type FleetArrival = Readonly<{ box: number; at: number; hasSignal: boolean }>;

type FleetBox = Readonly<{
  limits: ServerLimits;
  setPlace: (rank: number, boxes: number) => void;
  isFrozen: () => boolean;
  isCutOff: boolean;
}>;

/** Runs the simulation and returns the requests that the server received. */
export const runLimitedFleet = (scenario: FleetScenario): readonly FleetArrival[] => {
  const { boxes, perSecond, requestsPerSecond, durationMs } = scenario;
  const clock = createVirtualClock();
  const random = createSeededRandom(scenario.seed);
  const arrivals: FleetArrival[] = [];
  const isChosen = (share = 0) => random.nextFloat() < share;
  const callAfterRandomDelay = (maxDelay: number, callback: () => void) =>
    void clock.setTimer(random.nextInt(0, maxDelay) as Ms, callback);
  const getNow = () => clock.monotonic();
  const hasHubs = boxes > MESH_BOXES;
  const makeName = (index: number) => `box-${index}` as BoxName;

  const sendUpdate = (from: number, to: number, update: LimitUpdate) => {
    if (from === to || fleet[from]!.isCutOff || fleet[to]!.isCutOff) return;
    callAfterRandomDelay(LINK_MS, () =>
      fleet[to]!.limits.applyUpdate(update, makeName(from)),
    );
  };
  const sendToFirst = (from: number, to: number, update: LimitUpdate) => {
    for (let box = 0; box < to; box += 1) sendUpdate(from, box, update);
  };
  const makeBox = (index: number): FleetBox => {
    const places = createFleetPlaces(clock);
    const frozenUntil = isChosen(scenario.frozenShare)
      ? random.nextInt(LIMIT_NAMED_AT_MS, durationMs)
      : -1;
    const removedAt = isChosen(scenario.removedShare)
      ? random.nextInt(LIMIT_NAMED_AT_MS, durationMs)
      : Infinity;
    const limits = createServerLimits({
      clock,
      agingClock: clock,
      places,
      isPlacedByHubs: () => scenario.isPlacedByFirst ?? false,
      isListed: () => true,
      onOwnUpdate: (update) => sendToFirst(index, hasHubs ? HUBS : boxes, update),
      onSharedUpdate: (update) => {
        if (hasHubs && index < HUBS) sendToFirst(index, boxes, update);
      },
      onEvent: () => undefined,
    });
    if (removedAt < Infinity) clock.setTimer(removedAt as Ms, () => removeBox(index));
    return {
      limits,
      setPlace: (rank, count) => places.setPlace({ rank, boxes: count }),
      isFrozen: () =>
        (getNow() > frozenUntil - 3_000 && getNow() < frozenUntil) ||
        getNow() >= removedAt,
      isCutOff: isChosen(scenario.cutOffShare),
    };
  };
  let listed = Array.from({ length: boxes }, (_, index) => index);
  const removeBox = (removedIndex: number) => {
    listed = listed.filter((index) => index !== removedIndex);
    const remaining = listed;
    for (const index of remaining)
      callAfterRandomDelay(LIST_MS, () =>
        fleet[index]!.setPlace(remaining.indexOf(index), remaining.length),
      );
  };
  const fleet: readonly FleetBox[] = listed.map(makeBox);
  fleet.forEach((box, rank) => box.setPlace(rank, boxes));

  const answer = (index: number, sentAt: number, hasSignal: boolean) => {
    const signal = hasSignal ? { kind: "named" as const, perSecond } : UNNAMED;
    const sentAgo = (getNow() - sentAt) as Ms;
    fleet[index]!.limits.applySignal(SERVER.entry.id, signal, sentAgo);
  };
  const receiveRequest = (index: number, sentAt: number) => {
    const at = getNow();
    const hasSignal = at >= LIMIT_NAMED_AT_MS && at < (scenario.unnamedAt ?? Infinity);
    arrivals.push({ box: index, at, hasSignal });
    callAfterRandomDelay(ANSWER_MS, () => answer(index, sentAt, hasSignal));
  };
  const send = (index: number) => {
    const { limits, isFrozen } = fleet[index]!;
    if (isFrozen()) return;
    const demand = { service: SERVICE, tier: 0 };
    limits.recordArrival(demand);
    if (limits.filter(demand, [SERVER]).open.length === 0) return;
    limits.recordSent(SERVER.entry, demand.tier);
    const sentAt = getNow();
    callAfterRandomDelay(SEND_MS, () => receiveRequest(index, sentAt));
  };
  const sendRepeatedly = () => {
    send(scenario.isPlacedByFirst ? 0 : random.nextInt(0, boxes - 1));
    const perSecondNow =
      getNow() < LIMIT_NAMED_AT_MS
        ? requestsPerSecond
        : (scenario.requestsPerSecondOnceNamed ?? requestsPerSecond);
    const delay = (-Math.log(1 - random.nextFloat()) * 1_000) / perSecondNow;
    clock.setTimer(delay as Ms, sendRepeatedly);
  };
  clock.setTimer(5_000 as Ms, sendRepeatedly);
  clock.advance(durationMs as Ms);
  return arrivals;
};

const UNNAMED = { kind: "unnamed" } as const;
