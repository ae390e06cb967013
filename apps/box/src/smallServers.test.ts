/** Guards against sound checks that are reset at the listeners for readiness and metrics because others keep their connections. */
import { Agent, request } from "node:http";
import { describe, expect, it } from "vitest";
import { createSystemClock } from "@stairgauge/common";
import { createBoxMetrics, type DecisionLog } from "@stairgauge/telemetry";
import { closers } from "./box.testkit.js";
import { createMetricsServer, createReadyServer } from "./smallServers.js";

const SILENT_LOG: DecisionLog = {
  writeDecision: () => undefined,
  writeNotice: () => undefined,
  writeWarning: () => undefined,
  flush: () => undefined,
};

const startListener = async (name: "ready" | "metrics"): Promise<number> => {
  const options = {
    clock: createSystemClock(),
    log: SILENT_LOG,
    metrics: createBoxMetrics(),
  };
  const listener =
    name === "ready"
      ? createReadyServer(options, () => true)
      : createMetricsServer(options);
  closers.push(listener.close);
  return listener.listen("127.0.0.1", 0);
};

/** Sends a check; resolves with its status, or the code of the error. */
const check = (port: number, agent: Agent | false): Promise<number | string> =>
  new Promise((resolve) => {
    const outgoing = request({ host: "127.0.0.1", port, path: "/ready", agent });
    outgoing.on("response", (incoming) => {
      incoming.resume();
      incoming.on("end", () => resolve(incoming.statusCode ?? 0));
    });
    outgoing.on("error", (error: NodeJS.ErrnoException) =>
      resolve(error.code ?? error.message),
    );
    outgoing.end();
  });

/** Creates callers that each keep one connection for their checks. */
const createKeepers = (count: number): readonly Agent[] => {
  const keepers = Array.from(
    { length: count },
    () => new Agent({ keepAlive: true, maxSockets: 1 }),
  );
  closers.push(() => {
    for (const keeper of keepers) keeper.destroy();
  });
  return keepers;
};

const sendChecks = async (port: number, agent: Agent | false, times: number) => {
  const seen: (number | string)[] = [];
  for (let i = 0; i < times; i += 1) seen.push(await check(port, agent));
  return seen;
};

describe("a listener for checks", () => {
  it.each(["ready", "metrics"] as const)(
    "answers new callers while others have kept all of its connections: %s",
    async (name) => {
      const port = await startListener(name);
      for (const keeper of createKeepers(40)) expect(await check(port, keeper)).toBe(200);
      expect(await sendChecks(port, false, 20)).toEqual(Array(20).fill(200));
    },
  );

  it.each(["ready", "metrics"] as const)(
    "resets no check of callers that keep more connections than it takes: %s",
    async (name) => {
      const port = await startListener(name);
      const keepers = createKeepers(64);
      for (let round = 0; round < 5; round += 1)
        for (const keeper of keepers) expect(await check(port, keeper)).toBe(200);
    },
  );
});
