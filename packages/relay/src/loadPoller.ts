/** Reads the engines' load reports at a fixed interval and passes them to the decision core. */
import type { BundleIndex, EngineServer } from "@stairgauge/bundle";
import type { BackendServerName, Timer } from "@stairgauge/common";
import { LOAD_POLL_MS } from "./constants.js";
import type { Dispatcher } from "./dispatcher.js";
import type { RelayDeps } from "./types.js";

/** Polls the engines of the adopted bundle. */
export type LoadPoller = Readonly<{
  /** Polls this bundle's engines from now on. */
  adopt: (index: BundleIndex) => void;
  stop: () => void;
}>;

/** Creates a poller; it starts polling when the first bundle is adopted. */
export const createLoadPoller = (deps: RelayDeps, dispatcher: Dispatcher): LoadPoller => {
  const { clock, engines, logger } = deps;
  /** Servers whose load report is being read. */
  const pending = new Set<string>();
  let servers: readonly EngineServer[] = [];
  let timer: Timer | undefined;

  const readOne = async (server: EngineServer) => {
    if (pending.has(server.name)) return;
    pending.add(server.name);
    const report = await engines.readLoad(server.address);
    pending.delete(server.name);
    if (report.err) {
      logger.debug(
        { server: server.name, failure: report.val },
        "could not read the load report",
      );
      return;
    }
    const name = server.name as BackendServerName;
    dispatcher.handle({ kind: "loadReported", server: name, load: report.val });
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
