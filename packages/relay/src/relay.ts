/** The relay of one box: all running generations, the decisions and the engines' loads. */
import type { BundleIndex } from "@stairgauge/bundle";
import type { BackendServerName, RequestId, Timer } from "@stairgauge/common";
import { TICK_MS } from "./constants.js";
import { createDispatcher } from "./dispatcher.js";
import { createLoadPoller } from "./loadPoller.js";
import { runGeneration, type Run } from "./runGeneration.js";
import type { RelayDeps, RunHandle, RunRequest } from "./types.js";

/** The relay of one box. */
export type Relay = Readonly<{
  run: (request: RunRequest) => RunHandle;
  adopt: (index: BundleIndex) => void;
  /** Takes a mark of the platform's list: the server leaves, or does no longer. */
  markServer: (server: BackendServerName, isLeaving: boolean) => void;
  countRuns: () => number;
  refuseWaiting: () => void;
  stop: () => void;
}>;

/** Creates the relay; it starts its timers at once. */
export const createRelay = (deps: RelayDeps): Relay => {
  const { clock, metrics } = deps;
  const dispatcher = createDispatcher(deps);
  const poller = createLoadPoller(deps, dispatcher);
  const runs = new Map<RequestId, Run>();
  let timer: Timer | undefined;
  let latest: BundleIndex | undefined;

  const findNewerAddress = (server: string) => latest?.servers.get(server)?.address;
  const tick = () => {
    dispatcher.tell({ kind: "ticked" });
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
      // NOTE: a refusal at once ends the run before it is returned.
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
      dispatcher.tell({ kind: "serverMarked", server, isLeaving }),
    countRuns: () => runs.size,
    refuseWaiting: dispatcher.refuseWaiting,
    stop: () => {
      timer?.cancel();
      poller.stop();
    },
  };
};
