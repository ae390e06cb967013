/**
 * Chooses a server of a plain service: the less busy of two random ones. Servers that failed recently
 * are left out unless no other is left. No I/O.
 */
import type { ServiceServer } from "@stairgauge/bundle";
import type { Ms, Random } from "@stairgauge/common";
import { EJECTION_MS } from "./constants.js";

/** The chosen server, or `none_left` if no server may be used. */
export type ServiceChoice = Readonly<
  | {
      kind: "chosen";
      server: ServiceServer;
      reason: "only_one" | "less_busy";
      /** Calls of this box that run on the server. */
      outstanding: number;
    }
  | { kind: "none_left" }
>;

/** Chooses servers by the running calls, failures and leaving flags that it has recorded. */
export type ServiceRouter = ReturnType<typeof createServiceRouter>;

type ServerState = { outstanding: number; ejectedUntil: number; isLeaving: boolean };

/** Creates a router without any records of servers. */
export const createServiceRouter = (random: Random) => {
  const states = new Map<string, ServerState>();

  const getState = (name: string): ServerState => {
    const state = states.get(name) ?? {
      outstanding: 0,
      ejectedUntil: 0,
      isLeaving: false,
    };
    states.set(name, state);
    return state;
  };
  const pickTwo = (servers: readonly ServiceServer[]): readonly ServiceServer[] => {
    if (servers.length <= 2) return servers;
    const first = random.nextInt(0, servers.length - 1);
    const other = (first + random.nextInt(1, servers.length - 1)) % servers.length;
    return [servers[first]!, servers[other]!];
  };

  return {
    /** Chooses one of `servers`, without those whose names are in `tried`. */
    choose: (
      servers: readonly ServiceServer[],
      tried: ReadonlySet<string>,
      now: Ms,
    ): ServiceChoice => {
      const staying = servers.filter(
        (server) => !tried.has(server.name) && !getState(server.name).isLeaving,
      );
      const healthy = staying.filter(
        (server) => getState(server.name).ejectedUntil <= now,
      );
      const pair = pickTwo(healthy.length > 0 ? healthy : staying);
      const [server] = [...pair].sort(
        (a, b) => getState(a.name).outstanding - getState(b.name).outstanding,
      );
      if (!server) return { kind: "none_left" };
      const reason = staying.length === 1 ? "only_one" : "less_busy";
      return {
        kind: "chosen",
        server,
        reason,
        outstanding: getState(server.name).outstanding,
      };
    },
    recordStart: (server: string) => {
      getState(server).outstanding += 1;
    },
    recordEnd: (server: string) => {
      getState(server).outstanding -= 1;
    },
    recordFailure: (server: string, now: Ms) => {
      getState(server).ejectedUntil = now + EJECTION_MS;
    },
    markLeaving: (server: string, isLeaving: boolean) => {
      getState(server).isLeaving = isLeaving;
    },
  };
};
