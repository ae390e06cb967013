/**
 * Records which servers may be cold. A cold server can handle only few requests per second and
 * fails under more. Its own announcement of being cold arrives some hundred milliseconds late, so
 * every server that has just started or come back counts as cold for its warm-up time.
 */
import type { Clock, DataHallName, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerEntry, ServerId } from "@stairgauge/directory";
import type { WarmUp } from "@stairgauge/routing";

/** Dependencies of the cold periods. */
export type ColdPeriodsOptions = Readonly<{
  clock: Clock;
  /** Returns how the servers of a service warm up; undefined if they don't need to. */
  findWarmUp: (service: ServiceName) => WarmUp | undefined;
  listServers: () => readonly BackendServer[];
}>;

/** The periods in which servers may be cold. */
export type ColdPeriods = Readonly<{
  mayBeCold: (server: ServerId) => boolean;
  /** Handles a new server, or one whose entry is present again. */
  onJoined: (entry: ServerEntry) => void;
  /** Handles a server's entry that was read. */
  onEntry: (entry: ServerEntry) => void;
  /**
   * Handles a server that could not be connected to or did not answer. It may be back at any moment
   * and is cold then.
   */
  onUnreachable: (entry: ServerEntry) => void;
  onHallOpened: (hall: DataHallName) => void;
  /**
   * Handles the first complete read of the list of servers. Servers that join afterwards have just
   * started.
   */
  onListRead: () => void;
  forget: (server: ServerId) => void;
}>;

/** Approximate time after which an unreachable server is tried again. */
const UNREACHABLE_RETRY_MS = 1_000;

/** Creates the cold periods, with none on record. */
export const createColdPeriods = (options: ColdPeriodsOptions): ColdPeriods => {
  const { clock, findWarmUp, listServers } = options;
  const coldUntil = new Map<ServerId, number>();
  let isListRead = false;

  const markCold = (id: ServerId, duration: number) => {
    const until = clock.monotonic() + duration;
    coldUntil.set(id, Math.max(until, coldUntil.get(id) ?? -Infinity));
  };
  const markByWarmUp = ({ id, service }: ServerEntry, extraTime = 0) => {
    const warmUp = findWarmUp(service);
    if (warmUp) markCold(id, extraTime + warmUp.duration);
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
    onUnreachable: (entry) => markByWarmUp(entry, UNREACHABLE_RETRY_MS),
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
