/** What is measured: a box alone, and boxes of a site with hubs. Each probe starts its own boxes and ends them. */
import { setTimeout as wait } from "node:timers/promises";
import { sendRequests, type RequestKind, type UsersSite } from "@stairgauge/standins";
import { measureUse, startBoxUnderTest, type BoxUnderTest } from "./boxProcess.js";
import { computePerSecond, computePerUnit } from "./combineFigures.js";
import type { Figures } from "./types.js";

/** Until a box has settled after its start: its first reports and links. */
const SETTLE_MS = 1_000;
const IDLE_MS = 6_000;
const RESET_MS = 4_000;
/** Longer than a new box takes to write its row and be linked to. */
const LINK_MS = 2_500;
const SITE_SETTLE_MS = 6_000;
/** Hubs of a site of 13 to 160 boxes (packages/peers/src/hubs.ts). */
const HUBS = 4;
const HUB_CORES = 4;
const JOINING_BOXES = 3;
const AT_ONCE = 4;
const STREAMS_ELSEWHERE = 100;

/** A box serves some 180 requests on a day, so the counts are low: a warm process would hide what compiling costs. */
const REQUESTS: readonly Readonly<{ name: string; kind: RequestKind; count: number }>[] =
  [
    { name: "plain request", kind: "plain", count: 120 },
    { name: "streamed request of 40 events", kind: { events: 40 }, count: 60 },
    { name: "streamed request of 400 events", kind: { events: 400 }, count: 16 },
  ];

/** The site and the bundle to measure. */
type Subject = Readonly<{ site: UsersSite; bundle: string }>;

/** The boxes of a site with hubs. */
export type FleetOptions = Readonly<{ boxes: number; bundle: string }>;

const startAlone = ({ site, bundle }: Subject, name: string): Promise<BoxUnderTest> =>
  startBoxUnderTest({ name, store: site.store.address, cores: 1, bundle });

const measureIdle = async (box: BoxUnderTest): Promise<number> =>
  computePerSecond(await measureUse(box, () => wait(IDLE_MS)));

const measureRequests = async (
  subject: Subject,
  idlePerSecond: number,
): Promise<Figures> => {
  const figures: Record<string, number> = {};
  for (const { name, kind, count } of REQUESTS) {
    const box = await startAlone(subject, "requests");
    await wait(SETTLE_MS);
    const used = await measureUse(box, () =>
      sendRequests(box.clientPort, { kind, count, atOnce: AT_ONCE }),
    );
    figures[name] = computePerUnit(used, { units: count, idlePerSecond });
    await box.stop();
  }
  return figures;
};

const measureResets = async (site: UsersSite, box: BoxUnderTest): Promise<Figures> => {
  const callsBefore = site.store.countCalls();
  site.store.setMode("reset");
  const used = await measureUse(box, () => wait(RESET_MS));
  site.store.setMode("up");
  const calls = site.store.countCalls() - callsBefore;
  return {
    "second of a store that resets": computePerSecond(used),
    "store calls in such a second": computePerSecond({
      cpuMs: calls,
      elapsedMs: used.elapsedMs,
    }),
  };
};

const measureLinks = async (
  subject: Subject,
  { box, idlePerSecond }: Readonly<{ box: BoxUnderTest; idlePerSecond: number }>,
): Promise<Figures> => {
  const joined: BoxUnderTest[] = [];
  const used = await measureUse(box, async () => {
    for (let i = 0; i < JOINING_BOXES; i += 1) {
      joined.push(await startAlone(subject, `joining-${i}`));
      await wait(LINK_MS);
    }
  });
  for (const one of joined) await one.stop();
  return {
    "link to and from another box": computePerUnit(used, {
      units: JOINING_BOXES,
      idlePerSecond,
    }),
  };
};

/** Measures a box that is the only one of its site, and what it costs when others join it. */
export const measureAlone = async (subject: Subject): Promise<Figures> => {
  const { site } = subject;
  const box = await startAlone(subject, "alone");
  await wait(SETTLE_MS);
  const start = box.readCpuMs();
  const idlePerSecond = await measureIdle(box);
  const resets = await measureResets(site, box);
  await wait(SETTLE_MS);
  const links = await measureLinks(subject, { box, idlePerSecond });
  await box.stop();
  return {
    start,
    "idle second, alone": idlePerSecond,
    ...(await measureRequests(subject, idlePerSecond)),
    ...links,
    ...resets,
  };
};

const sum = (values: readonly number[]) => values.reduce((a, b) => a + b, 0);

const measureAll = (boxes: readonly BoxUnderTest[], working: Promise<void>) =>
  Promise.all(boxes.map((box) => measureUse(box, () => working)));

/** Measures the hubs and another box of a site: idle, and what a hub spends on the streams of another box. */
export const measureFleet = async (
  site: UsersSite,
  options: FleetOptions,
): Promise<Figures> => {
  const started = await Promise.all(
    Array.from({ length: options.boxes }, (_, i) =>
      startBoxUnderTest({
        name: `fleet-${i}`,
        store: site.store.address,
        cores: i < HUBS ? HUB_CORES : 1,
        bundle: options.bundle,
      }),
    ),
  );
  const hubs = started.slice(0, HUBS);
  const other = started.at(-1)!;
  await wait(SITE_SETTLE_MS);
  const idle = await measureAll([...hubs, other], wait(IDLE_MS));
  const hubIdle = idle.slice(0, HUBS).map(computePerSecond);
  const busy = await measureAll(
    hubs,
    sendRequests(other.clientPort, {
      kind: { events: 40 },
      count: STREAMS_ELSEWHERE,
      atOnce: AT_ONCE,
    }),
  );
  const perStream = busy.map((used, i) =>
    computePerUnit(used, { units: STREAMS_ELSEWHERE, idlePerSecond: hubIdle[i]! }),
  );
  for (const box of started) await box.stop();
  return {
    "idle second, hub": sum(hubIdle) / HUBS,
    "idle second, other box of the site": computePerSecond(idle.at(-1)!),
    "streamed request of another box, at a hub": sum(perStream) / HUBS,
  };
};
