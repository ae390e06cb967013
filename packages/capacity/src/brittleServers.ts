/**
 * Servers that state that they are brittle: one that rejects more than a few requests in a second for
 * want of room falls over. All state is advisory; it expires by itself and is learned again.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerEntry, ServerId } from "@stairgauge/directory";
import { BRITTLE_MEMORY_MS, MAX_SERVERS, REJECTED_MS } from "./constants.js";
import type { BrittleEvent } from "./types.js";

/** Options of the state. */
export type BrittleServersOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  onEvent: (event: BrittleEvent) => void;
}>;

/** What is needed of a server's entry. */
export type BrittleEntry = Pick<ServerEntry, "id" | "service">;

/** The brittle servers that one box knows of. */
export type BrittleServers = Readonly<{
  /** A server states in an answer that it is brittle. */
  recordSaid: (entry: BrittleEntry, maxRejected: number) => void;
  /** A server answered without that statement; `sentAgo` is the time since the request was sent. */
  recordUnsaid: (entry: BrittleEntry, sentAgo: Ms) => void;
  /** Another box knows of the statement, which is this old. */
  applyShared: (entry: BrittleEntry, age: Ms) => void;
  /** A server rejected a request of this box because it was full. */
  recordRejected: (server: ServerId) => void;
  /** Whether a brittle server rejected a request of this box within the last second. */
  hasRejected: (server: ServerId) => boolean;
  isBrittle: (server: ServerId) => boolean;
  /** Whether any server of the service is brittle. */
  isServiceBrittle: (service: ServiceName) => boolean;
  /** The brittle servers of a service, for other boxes. */
  list: (service: ServiceName) => readonly ServerId[];
  forget: (server: ServerId) => void;
}>;

type Statement = Readonly<{ service: ServiceName; at: Ms }>;

/** Creates the state; no server is brittle. */
export const createBrittleServers = (options: BrittleServersOptions): BrittleServers => {
  const { clock, onEvent } = options;
  const statements = new Map<ServerId, Statement>();
  /** When the requests were sent whose answers came without the statement. */
  const unsaidAt = new Map<ServerId, Ms>();

  const rejectedAt = new Map<ServerId, Ms>();

  const dropOld = () => {
    const oldest = clock.monotonic() - BRITTLE_MEMORY_MS;
    for (const [id, { at }] of statements) if (at < oldest) statements.delete(id);
    for (const [id, at] of unsaidAt) if (at < oldest) unsaidAt.delete(id);
    return statements;
  };
  const isBrittle = (id: ServerId) => dropOld().has(id);
  const list = (service: ServiceName) =>
    [...dropOld()].filter(([, one]) => one.service === service).map(([id]) => id);

  const putStatement = ({ id, service }: BrittleEntry, at: Ms): boolean => {
    const known = dropOld().get(id);
    if (!known && statements.size >= MAX_SERVERS) return false;
    if (at <= (unsaidAt.get(id) ?? -Infinity)) return false;
    statements.set(id, { service, at: Math.max(at, known?.at ?? 0) as Ms });
    return known === undefined;
  };

  return {
    recordSaid: (entry, maxRejected) => {
      const isNew = putStatement(entry, clock.monotonic());
      if (isNew)
        onEvent({ kind: "brittle", server: entry.id, maxRejected, age: 0 as Ms });
    },
    recordUnsaid: ({ id }, sentAgo) => {
      const known = dropOld().get(id);
      const sentAt = (clock.monotonic() - sentAgo) as Ms;
      // An answer to a request from before the statement may arrive after it.
      if (!known || sentAt <= known.at) return;
      statements.delete(id);
      unsaidAt.set(id, sentAt);
      onEvent({ kind: "brittle_over", server: id });
    },
    applyShared: (entry, age) => {
      const isNew = putStatement(entry, (clock.monotonic() - age) as Ms);
      if (isNew)
        onEvent({ kind: "brittle", server: entry.id, maxRejected: undefined, age });
    },
    recordRejected: (id) => {
      if (isBrittle(id)) rejectedAt.set(id, clock.monotonic());
    },
    hasRejected: (id) =>
      clock.monotonic() - (rejectedAt.get(id) ?? -Infinity) < REJECTED_MS,
    isBrittle,
    isServiceBrittle: (service) => list(service).length > 0,
    list,
    forget: (id) => {
      statements.delete(id);
      unsaidAt.delete(id);
      rejectedAt.delete(id);
    },
  };
};
