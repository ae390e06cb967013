/** The list of backend servers. It is changed only by entries and by marks. */
import {
  dropOldest,
  type DataHallName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import { getLeavingEvidence, isStronger, isTakenBack } from "./leavingReasons.js";
import type {
  BackendServer,
  LeavingReason,
  ServerEntry,
  ServerId,
  ServerName,
} from "./types.js";

/** A change of the directory. */
export type DirectoryEvent = Readonly<
  | { kind: "joined"; server: BackendServer }
  /** The entry of a listed server has different contents. */
  | { kind: "changed"; server: BackendServer }
  | { kind: "leaving"; server: BackendServer }
  /** The server's entry can't be used: it gets no new work, and its present requests continue. */
  | { kind: "unusable"; server: BackendServer }
  | { kind: "forgotten"; server: BackendServer }
>;

/** Options of a directory. */
export type DirectoryOptions = Readonly<{
  /** How long a leaving server stays listed, so that its runs can still be moved. */
  memory: Ms;
  onEvent: (event: DirectoryEvent) => void;
}>;

/** The backend servers on record at one box. */
export type ServerDirectory = Readonly<{
  /**
   * Adds or updates a server's entry. An entry from an earlier start than the one on record is
   * ignored.
   */
  put: (entry: ServerEntry, now: Ms) => void;
  /**
   * Records that the entry under the name can't be used. The server gets no new work until a usable
   * entry arrives.
   */
  markUnusable: (name: ServerName) => void;
  /**
   * Marks one start of a server as getting no new work, whether it is listed yet or not. A later
   * entry removes only marks that it can disprove.
   */
  mark: (id: ServerId, reason: LeavingReason, now: Ms) => void;
  find: (id: ServerId) => BackendServer | undefined;
  /** Lists all starts on record under a name. */
  listStarts: (name: ServerName) => readonly BackendServer[];
  /**
   * Replaces the set of data halls that are closed: their servers get no new work until they are
   * opened again.
   */
  setClosedHalls: (halls: ReadonlySet<DataHallName>) => void;
  isHallClosed: (hall: DataHallName) => boolean;
  /** Whether a server is listed, is not leaving, and is in an open data hall. */
  mayTakeWork: (id: ServerId) => boolean;
  /** Lists the servers of a service that may get new work. */
  listReady: (service: ServiceName) => readonly BackendServer[];
  /** Lists the servers of a service that are not leaving, including those in closed data halls. */
  listStaying: (service: ServiceName) => readonly BackendServer[];
  list: () => readonly BackendServer[];
  /** Removes servers that left longer ago than `memory`. */
  dropForgotten: (now: Ms) => void;
}>;

/** Maximum number of unlisted starts for which an announced leaving is kept. */
const MAX_ANNOUNCED_LEAVING = 4_096;

const isSameEntry = (a: ServerEntry, b: ServerEntry): boolean =>
  a.service === b.service &&
  a.softwareVersion === b.softwareVersion &&
  a.address.host === b.address.host &&
  a.address.port === b.address.port &&
  a.dataHall === b.dataHall &&
  a.slots === b.slots &&
  a.isLeaving === b.isLeaving &&
  a.warmUpLeft === b.warmUpLeft;

/**
 * Whether an entry is from an earlier start than the other. False unless both have a start time.
 */
const isEarlier = (entry: ServerEntry, other: ServerEntry): boolean =>
  entry.startedAt !== undefined &&
  other.startedAt !== undefined &&
  entry.startedAt < other.startedAt;

/**
 * Whether an entry without a start time may be from the previous start, which has announced itself
 * that it leaves.
 */
const mayBeOfStartThatLeft = (
  entry: ServerEntry,
  { entry: other, leaving }: BackendServer,
) =>
  entry.startedAt === undefined &&
  other.startedAt !== undefined &&
  leaving !== undefined &&
  getLeavingEvidence(leaving.reason) === "own_word";

export const createServerDirectory = (options: DirectoryOptions): ServerDirectory => {
  const { memory, onEvent } = options;
  const servers = new Map<ServerId, BackendServer>();
  const unusable = new Set<ServerName>();
  /**
   * Announced leaving reasons of starts that are not listed, since their entries may still arrive
   * or arrive again.
   */
  const announcedLeaving = new Map<ServerId, LeavingReason>();
  let closedHalls: ReadonlySet<DataHallName> = new Set();

  const isOpen = ({ entry }: BackendServer) => !closedHalls.has(entry.dataHall);
  const isUsable = ({ entry, leaving }: BackendServer) =>
    !leaving && !unusable.has(entry.name);
  const listStaying = (service: ServiceName) =>
    [...servers.values()].filter(
      (server) => server.entry.service === service && isUsable(server),
    );
  const listStarts = (name: ServerName) =>
    [...servers.values()].filter(({ entry }) => entry.name === name);

  const recordLeft = (id: ServerId, reason: LeavingReason) => {
    if (getLeavingEvidence(reason) !== "own_word") return;
    announcedLeaving.set(id, reason);
    dropOldest(announcedLeaving, MAX_ANNOUNCED_LEAVING);
  };
  const mark = (id: ServerId, reason: LeavingReason, now: Ms) => {
    const server = servers.get(id);
    if (!server) recordLeft(id, reason);
    if (!server || (server.leaving && !isStronger(reason, server.leaving.reason))) return;
    const marked = { ...server, leaving: { reason, since: now } };
    servers.set(id, marked);
    onEvent({ kind: "leaving", server: marked });
  };

  const put = (entry: ServerEntry, now: Ms) => {
    const others = listStarts(entry.name).filter((one) => one.entry.id !== entry.id);
    if (others.some((other) => isEarlier(entry, other.entry))) return;
    if (others.some((other) => mayBeOfStartThatLeft(entry, other))) return;
    unusable.delete(entry.name);
    for (const other of others) mark(other.entry.id, "started_again", now);
    const known = servers.get(entry.id);
    const reasonBefore = announcedLeaving.get(entry.id);
    if (!known && reasonBefore) {
      servers.set(entry.id, { entry, leaving: { reason: reasonBefore, since: now } });
      return;
    }
    // An entry that is present again after an outage of the store belongs to the same start, and
    // the store is more reliable than the conclusion of another box. But the entry may be older
    // than the server's own announcement, since the store accepts no writes during an outage.
    const reason = known?.leaving?.reason;
    const hasReturned = reason !== undefined && isTakenBack(reason);
    const leaving = hasReturned ? undefined : known?.leaving;
    const server: BackendServer = { entry, leaving };
    servers.set(entry.id, server);
    if (!known || hasReturned) onEvent({ kind: "joined", server });
    else if (!isSameEntry(known.entry, entry)) onEvent({ kind: "changed", server });
    if (entry.isLeaving) mark(entry.id, "entry_says_leaving", now);
  };

  return {
    put,
    mark,
    markUnusable: (name) => {
      if (unusable.has(name)) return;
      const starts = listStarts(name).filter(({ leaving }) => !leaving);
      if (starts.length === 0) return;
      unusable.add(name);
      for (const server of starts) onEvent({ kind: "unusable", server });
    },
    find: (id) => servers.get(id),
    listStarts,
    setClosedHalls: (halls) => {
      closedHalls = halls;
    },
    isHallClosed: (hall) => closedHalls.has(hall),
    mayTakeWork: (id) => {
      const server = servers.get(id);
      return server !== undefined && isUsable(server) && isOpen(server);
    },
    listReady: (service) => listStaying(service).filter(isOpen),
    listStaying,
    list: () => [...servers.values()],
    dropForgotten: (now) => {
      for (const [id, server] of servers) {
        if (!server.leaving || now - server.leaving.since <= memory) continue;
        servers.delete(id);
        recordLeft(id, server.leaving.reason);
        if (listStarts(server.entry.name).length === 0)
          unusable.delete(server.entry.name);
        onEvent({ kind: "forgotten", server });
      }
    },
  };
};
