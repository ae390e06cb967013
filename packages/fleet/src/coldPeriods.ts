/**
 * Which servers may be cold. A cold server bears few requests a second and falls over at many; it says so itself, some hundred
 * milliseconds late, so whatever has just started or come back counts as cold until it has had the time to warm up.
 */
import type { Clock, DataHallName, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerEntry, ServerId } from "@stairgauge/directory";
import type { WarmUp } from "@stairgauge/routing";

/** What judging needs. */
export type ColdPeriodsOptions = Readonly<{
  clock: Clock;
  /** How the servers of a service warm up; undefined where they don't. */
  findWarmUp: (service: ServiceName) => WarmUp | undefined;
  listServers: () => readonly BackendServer[];
}>;

/** The servers that may be cold. */
export type ColdPeriods = Readonly<{
  mayBeCold: (server: ServerId) => boolean;
  /** A server has come, or its entry is back. */
  onJoined: (entry: ServerEntry) => void;
  /** The server's own entry was read. */
  onEntry: (entry: ServerEntry) => void;
  /** No connection came up, or it did not answer: it may be back any moment, and is cold then. */
  onUnreachable: (entry: ServerEntry) => void;
  onHallOpened: (hall: DataHallName) => void;
  /** The list of servers has been read: whoever comes from now on has just started. */
  onListRead: () => void;
  forget: (server: ServerId) => void;
}>;

/** A server that could not be reached is asked again after about this long. */
const AWAY_MS = 1_000;

/** Creates the judge; it knows of no server that is cold. */
export const createColdPeriods = (options: ColdPeriodsOptions): ColdPeriods => {
  const { clock, findWarmUp, listServers } = options;
  const coldUntil = new Map<ServerId, number>();
  let isListRead = false;

  const markCold = (id: ServerId, duration: number) => {
    const until = clock.monotonic() + duration;
    coldUntil.set(id, Math.max(until, coldUntil.get(id) ?? -Infinity));
  };
  const markByWarmUp = ({ id, service }: ServerEntry, away = 0) => {
    const warmUp = findWarmUp(service);
    if (warmUp) markCold(id, away + warmUp.duration);
  };

  return {
    mayBeCold: (id) => (coldUntil.get(id) ?? -Infinity) > clock.monotonic(),
    onJoined: (entry) => {
      if (isListRead) markByWarmUp(entry);
    },
    onEntry: (entry) => {
      if (entry.warmUpLeft > 0 && findWarmUp(entry.service))
        markCold(entry.id, entry.warmUpLeft);
    },
    onUnreachable: (entry) => markByWarmUp(entry, AWAY_MS),
    onHallOpened: (hall) => {
      for (const { entry } of listServers())
        if (entry.dataHall === hall) markByWarmUp(entry);
    },
    onListRead: () => {
      isListRead = true;
    },
    forget: (id) => void coldUntil.delete(id),
  };
};
