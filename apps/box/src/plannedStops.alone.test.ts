/**
 * Guards against a planned stop that cuts requests which the box took late in its grace: their servers have them, and their
 * callers get no answer.
 */
import type { Agent } from "node:http";
import { beforeAll, describe, expect, it } from "vitest";
import { createSeededRandom } from "@stairgauge/common";
import { BUSY_MACHINE_TIMEOUT_MS, waitMs } from "./box.testkit.js";
import { buildBundle, type DeployedBox } from "./deployedBox.testkit.js";
import {
  callBox,
  listLost,
  openKept,
  startStopSite,
  type CallerEnd,
  type Route,
  type StopSite,
} from "./plannedStops.testkit.js";

const ROUTES: readonly Route[] = ["again", "once"];

/** Callers of each kind whose works end about when the box does. */
const LATE_CALLERS = 60;
const LATE_FROM_MS = 4_900;
const LATE_UNTIL_MS = 6_100;
const LATE_WORK_MS = { least: 1_800, most: 1_990 };

/** Callers through the whole stop, each on a connection of its own. */
const STEADY_EVERY_MS = 40;
const STEADY_UNTIL_MS = 8_500;
const STEADY_WORK_MS = { least: 20, most: 1_900 };

type Signals = readonly (readonly [atMs: number, signal: NodeJS.Signals])[];

const SIGNALS: Signals = [
  [500, "SIGHUP"],
  [2_000, "SIGTERM"],
  [4_500, "SIGINT"],
  [5_800, "SIGHUP"],
  [6_000, "SIGTERM"],
  [7_000, "SIGINT"],
];

/** The process is late when its answers must be out. */
const SUSPENSION: Signals = [
  [7_000, "SIGSTOP"],
  [7_600, "SIGCONT"],
];

/** Time between the stops of two boxes. */
const NEXT_STOP_MS = 3_000;

/** Sends the requests of all kinds of callers around a stop that begins now. */
const callAroundStop = async (
  box: DeployedBox,
  signals: Signals,
): Promise<readonly CallerEnd[]> => {
  const kept = await openKept(box, `kept-${box.pid}`, 2 * LATE_CALLERS);
  const random = createSeededRandom(1);
  const begunAt = performance.now();
  const sendAt = async (atMs: number, send: () => Promise<CallerEnd>) => {
    await waitMs(Math.max(0, begunAt + atMs - performance.now()));
    return send();
  };
  const pickWork = ({ least, most }: Readonly<{ least: number; most: number }>) =>
    random.nextInt(least, most);
  const sent: Promise<CallerEnd>[] = [];
  const call = (atMs: number, route: Route, workMs: number, agent?: Agent) => {
    const id = `stop-${box.pid}-${sent.length}`;
    sent.push(
      sendAt(atMs, () => callBox(box, { route, id, workMs, kept: agent }, begunAt)),
    );
  };

  box.sendSignal("SIGTERM");
  for (const [atMs, signal] of signals)
    setTimeout(() => {
      if (!box.hasEnded()) box.sendSignal(signal);
    }, atMs);
  for (let i = 0; i < 4 * LATE_CALLERS; i += 1) {
    const share = i / (4 * LATE_CALLERS);
    const atMs = LATE_FROM_MS + (LATE_UNTIL_MS - LATE_FROM_MS) * share;
    const agent = i % 2 === 0 ? kept[i / 2] : undefined;
    call(atMs, ROUTES[Math.floor(i / 2) % 2]!, pickWork(LATE_WORK_MS), agent);
  }
  for (let atMs = 0; atMs < STEADY_UNTIL_MS; atMs += STEADY_EVERY_MS)
    call(atMs, ROUTES[(atMs / STEADY_EVERY_MS) % 2]!, pickWork(STEADY_WORK_MS));
  return Promise.all(sent);
};

/** Checks that nothing was lost, that requests were served and refused, and that the box has ended. */
const checkStop = async (
  site: StopSite,
  box: DeployedBox,
  ends: readonly CallerEnd[],
) => {
  expect(listLost(site, box, ends)).toEqual([]);
  expect(ends.filter(({ status }) => status === 200).length).toBeGreaterThan(0);
  expect(ends.filter(({ status }) => status === 503).length).toBeGreaterThan(0);
  expect(await box.waitForExit()).toBe(0);
};

describe("a box of two that is stopped as planned", () => {
  beforeAll(buildBundle, BUSY_MACHINE_TIMEOUT_MS);

  it.each([
    ["without further signals", []],
    ["with further signals meanwhile", SIGNALS],
    ["and that is suspended at the end", SUSPENSION],
  ] as const)(
    "answers each request that a server got: %s",
    async (_, signals) => {
      const site = await startStopSite(2);
      const box = site.boxes[0]!;
      await checkStop(site, box, await callAroundStop(box, signals));
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "answers each request that a server got: and then the other box",
    async () => {
      const site = await startStopSite(2);
      const stops = site.boxes.map(async (box, index) => {
        await waitMs(index * NEXT_STOP_MS);
        return callAroundStop(box, []);
      });
      for (const [index, ends] of (await Promise.all(stops)).entries())
        await checkStop(site, site.boxes[index]!, ends);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
