/** Test helpers: boxes whose paths to the servers can be cut, and the first tries of their clients. */
import { expect } from "vitest";
import { createSeededRandom } from "@stairgauge/common";
import { startUsersSite, type UsersSite } from "@stairgauge/standins";
import {
  ask,
  closers,
  makeGeneration,
  waitMs,
  type Answer,
  type BoxChanges,
} from "./box.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";
import { startPathSwitch, type PathSwitch } from "./pathSwitch.testkit.js";

export const SERVERS = 4;
const DEADLINE_MS = 1_500;
const PER_SECOND = 50;

/** From then on a cut box serves like the others. */
export const IN_TOUCH_MS = 3_000;
/** Users' bounds: the least share of the others' rate, and the failures of first tries that are allowed. */
const MIN_RATE_SHARE = 2 / 3;
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

const KINDS = ["once", "again", "draft"] as const;

export type FirstTry = Readonly<{ isCut: boolean; at: number; answer: Answer }>;

const listAddresses = (site: UsersSite) =>
  [...site.engines, ...site.services].map(({ address }) => address);

/** `switches` has one more than boxes, for the box that `start` adds. */
export type CuttableFleet = Readonly<{
  site: UsersSite;
  fleet: FleetBox[];
  switches: readonly PathSwitch[];
  start: () => Promise<FleetBox>;
}>;

/** Starts a site and boxes whose paths to its servers can be cut; `start` adds one more. */
export const startCuttableFleet = async (
  boxes: number,
  more: BoxChanges = {},
): Promise<CuttableFleet> => {
  const site = await startUsersSite({ engines: SERVERS, services: SERVERS });
  closers.push(site.close);
  site.putConfiguration();
  const switches = await Promise.all(
    Array.from({ length: boxes + 1 }, () => startPathSwitch(listAddresses(site))),
  );
  const { fleet, start } = await startFleet({
    store: site.store.address,
    boxes,
    servers: 2 * SERVERS,
    changes: { hasProductionTimes: true, ...more },
    getChanges: (box) => ({ dialServer: switches[box - 1]!.dial }),
  });
  return { site, fleet, switches, start };
};

const isServed = ({ answer }: FirstTry) => answer.status === 200 && answer.isWhole;

/** Sends requests of each kind in turn over all boxes, for a time; each is tried once. */
export const sendFirstTries = async (
  fleet: readonly FleetBox[],
  isCut: (index: number) => boolean,
  duration: number,
): Promise<readonly FirstTry[]> => {
  const random = createSeededRandom(1);
  const begunAt = performance.now();
  const sent: Promise<FirstTry>[] = [];
  const send = async (kind: (typeof KINDS)[number], index: number, id: string) => {
    const at = performance.now() - begunAt;
    const headers = kind === "draft" ? makeGeneration(200, 20) : {};
    const path = `/${kind}/${id}`;
    const { ports } = fleet[index]!;
    const answer = await ask(ports, { path, id, headers, deadlineMs: DEADLINE_MS });
    return { isCut: isCut(index), at, answer };
  };
  for (let i = 0; performance.now() - begunAt < duration; i += 1) {
    sent.push(send(KINDS[i % KINDS.length]!, i % fleet.length, `try-${begunAt}-${i}`));
    await waitMs((500 + random.nextFloat() * 1_000) / PER_SECOND);
  }
  return Promise.all(sent);
};

const computeRate = (tries: readonly FirstTry[]) =>
  tries.filter(isServed).length / tries.length;

export const checkFirstTries = (tries: readonly FirstTry[]) => {
  const counted = tries.filter(({ at }) => at >= IN_TOUCH_MS);
  const cut = counted.filter((one) => one.isCut);
  const others = counted.filter((one) => !one.isCut);
  const failed = counted.length - counted.filter(isServed).length;
  const allowed = ALLOWED_FAILURES + counted.length * ALLOWED_FAILURE_SHARE;
  const result = { cut: computeRate(cut), others: computeRate(others), failed };
  expect(result.cut, JSON.stringify(result)).toBeGreaterThanOrEqual(
    result.others * MIN_RATE_SHARE,
  );
  expect(failed).toBeLessThanOrEqual(allowed);
};

/** Requests that a server started more than once. */
export const listRunTwice = ({ services, engines }: UsersSite) => {
  const ids = [
    ...services.flatMap((service) =>
      service
        .listReceived()
        .filter(({ target }) => target.startsWith("/once/"))
        .map(({ id }) => id),
    ),
    ...engines.flatMap((engine) => engine.listStarted()),
  ];
  return ids.filter((id, index) => ids.indexOf(id) !== index);
};
