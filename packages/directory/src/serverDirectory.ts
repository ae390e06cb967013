/** The list of backend servers, changed through entries and marks only. */
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import { getLeavingEvidence, isStronger, isTakenBack } from "./leavingReasons.js";
import type {
  BackendServer,
  LeavingReason,
  ServerEntry,
  ServerId,
  ServerName,
} from "./types.js";

/** A change that others act on. */
export type DirectoryEvent = Readonly<
  | { kind: "joined"; server: BackendServer }
  /** A known server's entry says something else than before. */
  | { kind: "changed"; server: BackendServer }
  | { kind: "leaving"; server: BackendServer }
  /** Its entry cannot be used: no new work goes there, and what runs there runs on. */
  | { kind: "unusable"; server: BackendServer }
  | { kind: "forgotten"; server: BackendServer }
>;

/** What a directory is given. */
export type DirectoryOptions = Readonly<{
  /** How long a leaving server is leftBefore, so that its runs can still be moved. */
  memory: Ms;
  onEvent: (event: DirectoryEvent) => void;
}>;

/** The servers that a box knows. */
export type ServerDirectory = Readonly<{
  /** Takes one server's entry; an entry of an earlier start than the one known says nothing. */
  put: (entry: ServerEntry, now: Ms) => void;
  /** What is listed under the name can't be used as an entry: until one can, no new work goes there. */
  markUnusable: (name: ServerName) => void;
  /** Marks a start of a server that gets no new work, known or not; the entry takes back only what it can disprove. */
  mark: (id: ServerId, reason: LeavingReason, now: Ms) => void;
  find: (id: ServerId) => BackendServer | undefined;
  /** All starts that are known under a name. */
  listStarts: (name: ServerName) => readonly BackendServer[];
  /** Replaces the data halls whose servers get no new work until they are opened again. */
  setClosedHalls: (halls: ReadonlySet<DataHallName>) => void;
  isHallClosed: (hall: DataHallName) => boolean;
  /** Whether a server is known, stays, and stands in an open data hall. */
  mayTakeWork: (id: ServerId) => boolean;
  /** Servers of a service that may get new work. */
  listReady: (service: ServiceName) => readonly BackendServer[];
  /** Servers of a service that stay, in closed data halls too. */
  listStaying: (service: ServiceName) => readonly BackendServer[];
  list: () => readonly BackendServer[];
  /** Forgets servers that left long ago. */
  dropForgotten: (now: Ms) => void;
}>;

/** Starts that are no longer listed here, of which it is leftBefore that they leave. */
const MAX_LEFT_BEFORE = 4_096;

const isSameEntry = (a: ServerEntry, b: ServerEntry): boolean =>
  a.service === b.service &&
  a.address.host === b.address.host &&
  a.address.port === b.address.port &&
  a.dataHall === b.dataHall &&
  a.slots === b.slots &&
  a.isLeaving === b.isLeaving &&
  a.warmUpLeft === b.warmUpLeft;

/** Whether an entry was written by a start before the other one; without a time of both nobody can tell. */
const isEarlier = (entry: ServerEntry, other: ServerEntry): boolean =>
  entry.startedAt !== undefined &&
  other.startedAt !== undefined &&
  entry.startedAt < other.startedAt;

/** Whether an entry that tells no start may be of the start before, which says itself that it leaves. */
const mayBeOfOneThatLeft = (
  entry: ServerEntry,
  { entry: other, leaving }: BackendServer,
) =>
  entry.startedAt === undefined &&
  other.startedAt !== undefined &&
  leaving !== undefined &&
  getLeavingEvidence(leaving.reason) === "own_word";

/** Creates an empty directory. */
export const createServerDirectory = (options: DirectoryOptions): ServerDirectory => {
  const { memory, onEvent } = options;
  const servers = new Map<ServerId, BackendServer>();
  const unusable = new Set<ServerName>();
  /** Starts that are not listed here, by whose own word they leave: their entries may come (again). */
  const leftBefore = new Map<ServerId, LeavingReason>();
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
    leftBefore.set(id, reason);
    const [oldest] = leftBefore.keys();
    if (leftBefore.size > MAX_LEFT_BEFORE) leftBefore.delete(oldest!);
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
    if (others.some((other) => mayBeOfOneThatLeft(entry, other))) return;
    unusable.delete(entry.name);
    for (const other of others) mark(other.entry.id, "started_again", now);
    const known = servers.get(entry.id);
    const reasonBefore = leftBefore.get(entry.id);
    if (!known && reasonBefore) {
      servers.set(entry.id, { entry, leaving: { reason: reasonBefore, since: now } });
      return;
    }
    // An entry that came back after an outage of the store lives on under the same identity, and what the store says of a server goes
    // before what another box concluded. It may be older than the server's own word: a store that is away takes none.
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
