/** Reads what this process's event loop and threads have used so far. */
import { performance } from "node:perf_hooks";
import type { Ms } from "@stairgauge/common";
import type { LoopReading } from "./types.js";

const US_PER_MS = 1_000;

export const readLoop = (): LoopReading => {
  const { user, system } = process.cpuUsage();
  return {
    at: performance.now() as Ms,
    idle: performance.eventLoopUtilization().idle,
    turns: performance.nodeTiming.uvMetricsInfo.loopCount,
    processor: (user + system) / US_PER_MS,
  };
};
