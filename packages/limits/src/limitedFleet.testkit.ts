/**
 * A fleet of boxes before one server that names a limit, on a virtual clock: what boxes know of the limit travels by answers and
 * between boxes, both late; some boxes freeze, some are cut off from the others, and the list of boxes changes under way.
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

/** Up to so many boxes each tells all others; beyond, a few hand on. */
const MESH_BOXES = 12;
const HUBS = 4;

/** Longest ways: to another box, and to the server with the time until a connection is up. */
const LINK_MS = 40;
const SEND_MS = 250;
const ANSWER_MS = 25;
/** Longest time until a change of the list of boxes is known to all. */
const LIST_MS = 600;

/** The server names its limit from this moment on; boxes know each other by then. */
export const NAMED_AT = 8_000;

/** What is played. */
export type FleetLoad = Readonly<{
  boxes: number;
  /** What the server names. */
  perSecond: number;
  /** Requests a second that all boxes together would send there. */
  asked: number;
  /** The same from the naming on, where it is something else. */
  askedThen?: number;
  durationMs: number;
  seed: number;
  /** Part of the boxes that freeze for seconds, that no other box reaches, and that go for good while others take their places. */
  frozen?: number;
  cutOff?: number;
  gone?: number;
  /** The first box places for all others. */
  isPlacedByFirst?: boolean;
  /** The server no longer names its limit from this moment on. */
  unnamedAt?: number;
}>;

/** A request as the server got it. */
export type FleetArrival = Readonly<{ box: number; at: number; isTold: boolean }>;

type FleetBox = Readonly<{
  limits: ServerLimits;
  setPlace: (rank: number, boxes: number) => void;
  isFrozen: () => boolean;
  isCutOff: boolean;
}>;

/** Plays the load; gives what the server got. */
export const runLimitedFleet = (load: FleetLoad): readonly FleetArrival[] => {
  const { boxes, perSecond, asked, durationMs } = load;
  const clock = createVirtualClock();
  const random = createSeededRandom(load.seed);
  const arrivals: FleetArrival[] = [];
  const isOneOf = (share = 0) => random.nextFloat() < share;
  const callWithin = (most: number, fire: () => void) =>
    void clock.setTimer(random.nextInt(0, most) as Ms, fire);
  const getNow = () => clock.monotonic();
  const hasHubs = boxes > MESH_BOXES;
  const makeName = (index: number) => `box-${index}` as BoxName;

  const sendNews = (from: number, to: number, news: LimitUpdate) => {
    if (from === to || fleet[from]!.isCutOff || fleet[to]!.isCutOff) return;
    callWithin(LINK_MS, () => fleet[to]!.limits.applyUpdate(news, makeName(from)));
  };
  const tellTo = (from: number, to: number, news: LimitUpdate) => {
    for (let box = 0; box < to; box += 1) sendNews(from, box, news);
  };
  const makeBox = (index: number): FleetBox => {
    const places = createFleetPlaces(clock);
    const wakesAt = isOneOf(load.frozen) ? random.nextInt(NAMED_AT, durationMs) : -1;
    const goesAt = isOneOf(load.gone) ? random.nextInt(NAMED_AT, durationMs) : Infinity;
    const limits = createServerLimits({
      clock,
      agingClock: clock,
      places,
      isPlacedByHubs: () => load.isPlacedByFirst ?? false,
      isListed: () => true,
      onOwnUpdate: (news) => tellTo(index, hasHubs ? HUBS : boxes, news),
      onSharedUpdate: (news) => {
        if (hasHubs && index < HUBS) tellTo(index, boxes, news);
      },
      onEvent: () => undefined,
    });
    if (goesAt < Infinity) clock.setTimer(goesAt as Ms, () => removeBox(index));
    return {
      limits,
      setPlace: (rank, count) => places.setPlace({ rank, boxes: count }),
      isFrozen: () =>
        (getNow() > wakesAt - 3_000 && getNow() < wakesAt) || getNow() >= goesAt,
      isCutOff: isOneOf(load.cutOff),
    };
  };
  let listed = Array.from({ length: boxes }, (_, index) => index);
  const removeBox = (gone: number) => {
    listed = listed.filter((index) => index !== gone);
    const seen = listed;
    for (const index of seen)
      callWithin(LIST_MS, () => fleet[index]!.setPlace(seen.indexOf(index), seen.length));
  };
  const fleet: readonly FleetBox[] = listed.map(makeBox);
  fleet.forEach((box, rank) => box.setPlace(rank, boxes));

  const answer = (index: number, sentAt: number, isTold: boolean) => {
    const sign = isTold ? { kind: "named" as const, perSecond } : UNNAMED;
    const sentAgo = (getNow() - sentAt) as Ms;
    fleet[index]!.limits.applySignal(SERVER.entry.id, sign, sentAgo);
  };
  const takeArrival = (index: number, sentAt: number) => {
    const at = getNow();
    const isTold = at >= NAMED_AT && at < (load.unnamedAt ?? Infinity);
    arrivals.push({ box: index, at, isTold });
    callWithin(ANSWER_MS, () => answer(index, sentAt, isTold));
  };
  const send = (index: number) => {
    const { limits, isFrozen } = fleet[index]!;
    if (isFrozen()) return;
    const demand = { service: SERVICE, tier: 0 };
    limits.recordArrival(demand);
    if (limits.filter(demand, [SERVER]).open.length === 0) return;
    limits.recordSent(SERVER.entry, demand.tier);
    const sentAt = getNow();
    callWithin(SEND_MS, () => takeArrival(index, sentAt));
  };
  const sendOn = () => {
    send(load.isPlacedByFirst ? 0 : random.nextInt(0, boxes - 1));
    const perSecondNow = getNow() < NAMED_AT ? asked : (load.askedThen ?? asked);
    const pause = (-Math.log(1 - random.nextFloat()) * 1_000) / perSecondNow;
    clock.setTimer(pause as Ms, sendOn);
  };
  clock.setTimer(5_000 as Ms, sendOn);
  clock.advance(durationMs as Ms);
  return arrivals;
};

const UNNAMED = { kind: "unnamed" } as const;
