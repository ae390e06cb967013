/** Reads the engines' load reports at a steady rate and hands them to the decisions. */
import type { BundleIndex, EngineServer } from "@stairgauge/bundle";
import type { BackendServerName, Timer } from "@stairgauge/common";
import { LOAD_POLL_MS } from "./constants.js";
import type { Dispatcher } from "./dispatcher.js";
import type { RelayDeps } from "./types.js";

/** A running poller. */
export type LoadPoller = Readonly<{
  adopt: (index: BundleIndex) => void;
  stop: () => void;
}>;

/** Creates a poller; it starts with the first bundle. */
export const createLoadPoller = (deps: RelayDeps, dispatcher: Dispatcher): LoadPoller => {
  const { clock, engines, logger } = deps;
  const busy = new Set<string>();
  let servers: readonly EngineServer[] = [];
  let timer: Timer | undefined;

  const readOne = async (server: EngineServer) => {
    if (busy.has(server.name)) return;
    busy.add(server.name);
    const report = await engines.readLoad(server.address);
    busy.delete(server.name);
    if (report.err) {
      logger.debug({ server: server.name, failure: report.val }, "no load report");
      return;
    }
    const name = server.name as BackendServerName;
    dispatcher.tell({ kind: "loadReported", server: name, load: report.val });
  };
  const poll = () => {
    for (const server of servers) void readOne(server);
    timer = clock.setTimer(LOAD_POLL_MS, poll);
  };

  return {
    adopt: (index) => {
      servers = index.active.bundle.backendServers.filter((one) => one.kind === "engine");
      if (!timer) poll();
    },
    stop: () => timer?.cancel(),
  };
};
