/** Measures what requests cost that another box carries, beside those over the box's own path. */
import { setTimeout as wait } from "node:timers/promises";
import { sendRequests, type UsersSite } from "@stairgauge/standins";
import {
  measureUse,
  startBoxUnderTest,
  type BoxUnderTest,
} from "../boxCost/boxProcess.js";
import { computePerUnit } from "../boxCost/combineFigures.js";

const SETTLE_MS = 6_000;
const AT_ONCE = 4;
/** Compiles the code of carried requests, and finds out that the paths are lost. */
const WARM_UP_REQUESTS = 100;
const REQUESTS = 400;

const LOSE_PATHS = new URL("./losePaths.js", import.meta.url);

/** The fleet to measure; the paths of half of its boxes are lost from their start on. */
export type CarryingFleet = Readonly<{ site: UsersSite; boxes: number; bundle: string }>;

/** Costs of one plain request. */
export type CarryingCost = Readonly<{
  /** Time until the answer over the own path, and by way of another box, in milliseconds. */
  ownMs: number;
  carriedMs: number;
  /** CPU time over the own path; of a carried request at its box, and at all boxes that carry. */
  ownCpuMs: number;
  carriedCpuMs: number;
  carrierCpuMs: number;
}>;

const startFleet = ({ site, boxes, bundle }: CarryingFleet) => {
  const ports = [...site.services, ...site.engines].map(({ address }) =>
    address.slice(address.lastIndexOf(":") + 1),
  );
  const start = (index: number) =>
    startBoxUnderTest({
      name: `box-${index}`,
      store: site.store.address,
      cores: 1,
      bundle,
      nodeFlags:
        index * 2 < boxes ? [`--import=${LOSE_PATHS.href}?ports=${ports.join(",")}`] : [],
    });
  return Promise.all(Array.from({ length: boxes }, (_, index) => start(index)));
};

const sendTo = (box: BoxUnderTest, count: number) =>
  sendRequests(box.clientPort, { kind: "plain", count, atOnce: AT_ONCE });

/** Returns the time per request, and the CPU time per request at the box and at the others. */
const measureRequests = async (box: BoxUnderTest, others: readonly BoxUnderTest[]) => {
  await sendTo(box, WARM_UP_REQUESTS);
  const idle = await Promise.all(
    [box, ...others].map((one) => measureUse(one, () => wait(SETTLE_MS))),
  );
  const working = sendTo(box, REQUESTS);
  const used = await Promise.all(
    [box, ...others].map((one) => measureUse(one, () => working)),
  );
  const costs = used.map((one, i) =>
    computePerUnit(one, {
      units: REQUESTS,
      idlePerSecond: (idle[i]!.cpuMs / idle[i]!.elapsedMs) * 1_000,
    }),
  );
  return {
    ms: (used[0]!.elapsedMs * AT_ONCE) / REQUESTS,
    cpuMs: costs[0]!,
    othersCpuMs: costs.slice(1).reduce((sum, one) => sum + one, 0),
  };
};

/** Starts the fleet, measures one box of either half, and ends the fleet. */
export const measureCarrying = async (fleet: CarryingFleet): Promise<CarryingCost> => {
  const boxes = await startFleet(fleet);
  const half = Math.ceil(fleet.boxes / 2);
  const reaching = boxes.slice(half);
  await wait(SETTLE_MS);
  const carried = await measureRequests(boxes[0]!, reaching);
  const own = await measureRequests(reaching[0]!, []);
  for (const box of boxes) await box.stop();
  return {
    ownMs: own.ms,
    carriedMs: carried.ms,
    ownCpuMs: own.cpuMs,
    carriedCpuMs: carried.cpuMs,
    carrierCpuMs: carried.othersCpuMs,
  };
};
