/** Runs all generations of one box; places them by decisions and by the engines' load reports. */
import type { BundleIndex } from "@stairgauge/bundle";
import type { BackendServerName, RequestId, Timer } from "@stairgauge/common";
import { TICK_MS } from "./constants.js";
import { createDispatcher } from "./dispatcher.js";
import { createLoadPoller } from "./loadPoller.js";
import { runGeneration, type Run } from "./runGeneration.js";
import type { RelayDeps, RunHandle, RunRequest } from "./types.js";

/** The relay of one box. */
export type Relay = Readonly<{
  /** Starts or continues a generation. The sink may be called before this returns. */
  run: (request: RunRequest) => RunHandle;
  /** Applies a new bundle to later placements. */
  adopt: (index: BundleIndex) => void;
  /** Applies the platform's list of servers: the server is leaving, or no longer is. */
  markServer: (server: BackendServerName, isLeaving: boolean) => void;
  /** Number of generations that are waiting or running. */
  countRuns: () => number;
  /** Refuses all waiting generations, because the box is stopping. */
  refuseWaiting: () => void;
  /** Stops the timers; running generations go on. */
  stop: () => void;
}>;

/** Creates the relay and starts its timer. */
export const createRelay = (deps: RelayDeps): Relay => {
  const { clock, metrics } = deps;
  const dispatcher = createDispatcher(deps);
  const poller = createLoadPoller(deps, dispatcher);
  const runs = new Map<RequestId, Run>();
  let timer: Timer | undefined;
  let latest: BundleIndex | undefined;

  const findNewerAddress = (server: string) => latest?.servers.get(server)?.address;
  const tick = () => {
    dispatcher.handle({ kind: "ticked" });
    for (const run of [...runs.values()]) run.tick();
    timer = clock.setTimer(TICK_MS, tick);
  };
  tick();

  return {
    run: (request) => {
      const { id } = request.call;
      let isOver = false;
      const handleOver = () => {
        isOver = true;
        runs.delete(id);
        metrics.openStreams.set(runs.size);
      };
      const run = runGeneration(
        { ...deps, dispatcher, onOver: handleOver, findNewerAddress },
        request,
      );
      // NOTE: a request that is refused at once is over before runGeneration returns.
      if (!isOver) runs.set(id, run);
      metrics.openStreams.set(runs.size);
      return run;
    },
    adopt: (index) => {
      latest = index;
      dispatcher.adopt(index);
      poller.adopt(index);
    },
    markServer: (server, isLeaving) =>
      dispatcher.handle({ kind: "serverMarked", server, isLeaving }),
    countRuns: () => runs.size,
    refuseWaiting: dispatcher.refuseWaiting,
    stop: () => {
      timer?.cancel();
      poller.stop();
    },
  };
};
