/**
 * Boxes before servers on a virtual clock, with the real state of paths, choice of carriers and exchanges;
 * connections and links are simulated.
 */
import { Socket } from "node:net";
import {
  createSeededRandom,
  createVirtualClock,
  type BoxName,
  type DataHallName,
  type Ms,
} from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import {
  createCarriers,
  createCarryBounds,
  createServerPaths,
  type CallCarrier,
  type CarryFrame,
  type PathEvent,
} from "@stairgauge/paths";
import type { CarryEvent } from "./carriedExchange.js";
import { createCarryForOthers } from "./carryForOthers.js";
import { openExchange, type ExchangeRequest, type ExchangeSink } from "./openExchange.js";
import { createServerExchanges, type OpenOwnExchange } from "./serverExchanges.js";

export const CONNECT_LIMIT = 250 as Ms;
const CONNECT_MS = 3 as Ms;
const LINK_MS = 2 as Ms;
export const SERVICE_MS = 20 as Ms;

/** A box's paths to some servers are cut for a time; connections hang or are refused. */
export type Cut = Readonly<{
  box: number;
  servers: readonly number[];
  from: number;
  to: number;
  isRefused: boolean;
}>;

export type Outcome = Readonly<{
  kind: "served" | "unreachable" | "unsendable" | "broken" | "carrier_lost" | "open";
  detail?: string;
  carrier?: BoxName | undefined;
  after: number;
}>;

export type CarryingFleetOptions = Readonly<{
  boxes: number;
  servers: number;
  cuts: readonly Cut[];
  /** Boxes that one box may ask; all others by default. */
  listCarriers?: ((box: number) => readonly number[]) | undefined;
  /** Boxes whose links throw when they are asked. */
  closedLinks?: readonly number[];
  /** Requests that each box may carry at once. */
  maxRequests?: number;
  seed?: number;
}>;

/** Differences of a request from one without headers. */
export type SendChanges = Readonly<{
  headers?: readonly string[];
  onBuild?: () => void;
}>;

export const toBox = (index: number) => `box-${index}` as BoxName;

const toTarget = (id: string) => encodeURIComponent(id);

const toServer = (index: number): BackendServer =>
  ({
    entry: {
      id: `s${index}` as ServerId,
      address: { host: "10.0.0.1", port: index },
      dataHall: "h" as DataHallName,
    },
    leaving: undefined,
  }) as unknown as BackendServer;

const dropEvent = () => undefined;

export const createCarryingFleet = (options: CarryingFleetOptions) => {
  const { boxes, cuts, maxRequests = 512 } = options;
  const clock = createVirtualClock();
  const random = createSeededRandom(options.seed ?? 1);
  const servers = Array.from({ length: options.servers }, (_, i) => toServer(i));
  const runs = new Map<string, number>();
  const stopped = new Set<number>();
  const down = new Set<number>();
  let maxCarried = 0;

  const findCut = (box: number, server: number) => {
    const now = clock.monotonic();
    return cuts.find(
      (cut) =>
        cut.box === box &&
        cut.servers.includes(server) &&
        cut.from <= now &&
        now < cut.to,
    );
  };

  /** A connection of one box; a request runs when it arrives over an established one. */
  const createOpenOwn =
    (box: number): OpenOwnExchange =>
    (request: ExchangeRequest, sink: ExchangeSink) => {
      const { address, connectLimit, target, headers } = request;
      // What can't be sent fails before there is a connection to simulate.
      if (headers.length > 0)
        return openExchange(clock, { ...request, dial: () => new Socket() }, sink);
      const server = address.port;
      let isOver = false;
      let isConnected = false;
      const schedule = (delay: number, act: () => void) =>
        clock.setTimer(delay as Ms, () => {
          if (!isOver) act();
        });
      const fail = (detail: string) => {
        isOver = true;
        sink.onFailure({ kind: "unreachable", detail });
      };
      const answer = () => {
        if (findCut(box, server) || stopped.has(box)) return;
        sink.onHead(200, [], "OK");
        isOver = true;
        sink.onEnd("framing");
      };
      const connect = () => {
        const cut = findCut(box, server);
        if (cut?.isRefused || down.has(server)) return fail("ECONNREFUSED");
        if (cut) return undefined;
        isConnected = true;
        sink.onConnected?.();
        runs.set(target, (runs.get(target) ?? 0) + 1);
        schedule(SERVICE_MS, answer);
        return undefined;
      };
      schedule(CONNECT_MS, connect);
      schedule(connectLimit, () => {
        if (!isConnected) fail("no connection in time");
      });
      return {
        cancel: () => {
          isOver = true;
        },
        cancelFor: dropEvent,
        pause: dropEvent,
        resume: dropEvent,
        isSent: () => isConnected,
      };
    };

  const events: (PathEvent | CarryEvent)[] = [];
  const createOne = (index: number) => {
    const openOwn = createOpenOwn(index);
    const paths = createServerPaths({
      clock,
      random,
      onEvent: (event) => events.push(event),
    });
    const others =
      options.listCarriers?.(index) ?? Array.from({ length: boxes }, (_, i) => i);
    const carriers = createCarriers({
      clock,
      random,
      hasAny: () => others.some((other) => other !== index),
      listBoxes: () => others.filter((other) => other !== index).map(toBox),
    });
    const bounds = createCarryBounds({ maxRequests, maxHeldBytes: 1_000_000 });
    const { answerCarry: carry } = createCarryForOthers({
      clock,
      bounds,
      paths,
      findServer: (id) => servers.find(({ entry }) => entry.id === id),
      isLeaving: () => false,
      isStopping: () => false,
      hasRoom: () => true,
      connectLimit: CONNECT_LIMIT,
      openOwn,
    });
    return { index, openOwn, paths, carriers, carry, bounds };
  };
  const fleet = Array.from({ length: boxes }, (_, i) => createOne(i));
  const findBox = (name: BoxName) => fleet[Number(name.slice("box-".length))]!;

  /** A call over a link; frames take a moment, and a stopped box sends none. */
  const callCarrier: CallCarrier = (name, question, sink) => {
    const carrier = findBox(name);
    if (options.closedLinks?.includes(carrier.index)) throw new Error("link is closed");
    let isOver = false;
    let handlers: ReturnType<typeof carrier.carry> | undefined;
    const sendLater = (act: () => void) =>
      clock.setTimer(LINK_MS, () => {
        if (!isOver) act();
      });
    const onFrame = (frame: CarryFrame) => {
      if (!stopped.has(carrier.index)) sendLater(() => sink.onFrame(frame));
      return true;
    };
    sendLater(() => {
      if (stopped.has(carrier.index)) return;
      handlers = carrier.carry(question, { write: onFrame, end: dropEvent });
      maxCarried = Math.max(maxCarried, carrier.bounds.count());
    });
    return {
      cancel: () => {
        isOver = true;
        clock.setTimer(LINK_MS, () => handlers?.onCancelled());
      },
      pause: dropEvent,
      resume: dropEvent,
    };
  };
  const exchanges = fleet.map(({ openOwn, paths, carriers }) =>
    createServerExchanges({
      clock,
      openOwn,
      paths,
      carriers,
      callCarrier,
      onEvent: (event) => events.push(event),
    }),
  );

  /** Sends one request, and returns how it ended so far. */
  const send = (box: number, server: number, id: string, changes: SendChanges = {}) => {
    const startedAt = clock.monotonic();
    let outcome: Outcome = { kind: "open", after: 0 };
    let carrier: BoxName | undefined;
    const end = (kind: Outcome["kind"], detail = "") => {
      outcome = { kind, detail, carrier, after: clock.monotonic() - startedAt };
    };
    exchanges[box]!.open({
      server: servers[server]!,
      isNewWork: true,
      build: () => {
        changes.onBuild?.();
        return {
          address: servers[server]!.entry.address,
          method: "POST",
          target: toTarget(id),
          headers: changes.headers ?? [],
          body: Buffer.alloc(0),
          connectLimit: CONNECT_LIMIT,
        };
      },
      sink: {
        onCarried: (by) => {
          carrier = by;
        },
        onHead: dropEvent,
        onData: dropEvent,
        onEnd: () => end("served"),
        onFailure: ({ kind, detail }) =>
          end(kind === "malformed" ? "broken" : kind, detail),
      },
    });
    return { getOutcome: () => outcome };
  };

  return {
    clock,
    fleet,
    events,
    send,
    countRuns: (id: string) => runs.get(toTarget(id)) ?? 0,
    getMaxCarried: () => maxCarried,
    /** The box neither sends nor receives any more. */
    stop: (box: number) => void stopped.add(box),
    setDown: (server: number) => void down.add(server),
  };
};
