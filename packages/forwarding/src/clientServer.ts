/** The HTTP listener for clients, with limits on head size, and new connections that wait while the process is busy. */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Ms } from "@stairgauge/common";
import type { ClientLimits } from "@stairgauge/routing";
import {
  createArrivals,
  type Backlog,
  type Intake,
  type UnreadLimit,
} from "@stairgauge/saturation";
import {
  createBoundedListener,
  PARSER_HEAD_BYTES,
  rejectRequest,
  type BoundedListener,
  type BoundedListenerOptions,
  type HandleRequest,
  type ListenerLimits,
} from "./boundedListener.js";
import type { ClientLimit } from "./connectionReader.js";
import type { MinIdle } from "./idleConnections.js";

/** A request may be on its way for as long as the first of these; an answer that is being read is never cut off. */
const MIN_IDLE: MinIdle = {
  unused: 250 as Ms,
  used: 250 as Ms,
  unread: Infinity as Ms,
};

const SPARE_CONNECTIONS = 32;

/** Options of the client server. */
export type ClientServerOptions = Readonly<{
  clock: Pick<Clock, "monotonic" | "setTimer">;
  handle: HandleRequest;
  /** Decides about each new connection; one that finds no room is closed unread. */
  intake: Pick<Intake, "hasRoom" | "recordTurnedAway">;
  /** Whether the event loop has no idle time. */
  isBusy: () => boolean;
  /** Tells how long a connection may stay unread. */
  unreadLimit: Pick<UnreadLimit, "get">;
  /** A client sent an invalid request, or its connection was dropped; `code` is the error code. */
  onClientError: (code: string) => void;
  /** A connection was ended for what its client kept the box from doing for others. */
  onLimit: (limit: ClientLimit) => void;
}> &
  Pick<ListenerLimits, "getMaxConnections" | "maxUnreadBytes"> &
  Pick<BoundedListenerOptions, "turns">;

/** The HTTP server for clients. */
export type ClientServer = Readonly<{
  applyLimits: (limits: ClientLimits) => void;
  /** Reads how many connections wait to be read. */
  readBacklog: () => Backlog;
}> &
  Pick<BoundedListener, "listen" | "countUnused" | "countClosing" | "close">;

const measureHead = (incoming: IncomingMessage): number =>
  incoming.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    incoming.url?.length ?? 0,
  );

const isHostMissing = ({ headers, httpVersion }: IncomingMessage): boolean =>
  headers.host === undefined && httpVersion === "1.1";

/** Keeps the listener from reading a new connection until it has accepted those that wait. */
const createSocketArrivals = (
  { clock, isBusy, intake, unreadLimit }: ClientServerOptions,
  startReading: (socket: Socket) => void,
) =>
  createArrivals<Socket>({
    clock,
    isBusy,
    getUnreadLimit: unreadLimit.get,
    scheduleTurnEnd: setImmediate,
    startReading,
    closeUnread: (socket, reason, waited) => {
      socket.destroy();
      intake.recordTurnedAway(reason, waited);
    },
  });

/** Creates the server; it does not listen yet. */
export const createClientServer = (options: ClientServerOptions): ClientServer => {
  const { clock, intake, onClientError, onLimit } = options;
  let headBytes = PARSER_HEAD_BYTES;
  const arrivals = createSocketArrivals(options, (socket) =>
    listener.startReading(socket),
  );
  const listener = createBoundedListener({
    clock,
    turns: options.turns,
    limits: {
      getMaxConnections: options.getMaxConnections,
      spareConnections: SPARE_CONNECTIONS,
      maxUnreadBytes: options.maxUnreadBytes,
      minIdle: MIN_IDLE,
    },
    handle: (incoming, response, countUnread) => {
      if (measureHead(incoming) > headBytes) rejectRequest(response, 431);
      else if (isHostMissing(incoming)) rejectRequest(response, 400);
      else options.handle(incoming, response, countUnread);
    },
    hasRoom: intake.hasRoom,
    arrivals,
    onDrop: () => {
      if (intake.hasRoom()) onClientError("too_many_connections");
      else intake.recordTurnedAway("no_room", 0 as Ms);
    },
    onClientError,
    onLimit,
  });
  return {
    listen: listener.listen,
    countUnused: listener.countUnused,
    countClosing: listener.countClosing,
    close: listener.close,
    readBacklog: arrivals.readBacklog,
    applyLimits: (limits) => {
      headBytes = limits.headerBytes;
      listener.setTimes(limits);
    },
  };
};
