/** Test helpers that start boxes in front of servers which crash under certain requests. */
import {
  CRASHING_BODY,
  startCrashingServers,
  startUsersSite,
  type CrashingKind,
} from "@stairgauge/standins";
import { ask, closers, makeGeneration, waitMs, type Ask } from "./box.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";

/** Time after which boxes that are in contact must have the third crash on record. */
export const CONTACT_MS = 3_000;

/** Number of server crashes after which a request is blocked. */
export const CRASHES_ALLOWED = 3;

/** Number of attempts that may still reach servers after the contact time. */
export const ARRIVALS_ALLOWED = 3;

/**
 * Maximum number of crashes: three, and those of attempts that are at servers when the third
 * becomes known. A server crashes 30 ms after it got the request, and attempts come every 100
 * ms.
 */
export const MAX_CRASHES = 6;

/** Pause between two attempts, which go to different boxes. */
const ATTEMPT_PAUSE_MS = 100;
export const COUNTED_ATTEMPTS = 20;

const SERVERS = 10;

/** The requested route, the kind of its servers, and the number of boxes. */
export type CrashCase = Readonly<{ path: string; kind: CrashingKind; boxes: number }>;

/** Starts the servers and the boxes, and waits until the boxes are linked. */
export const startCrashSite = async ({ path, kind, boxes }: CrashCase) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const servers = await startCrashingServers({
    kind,
    count: SERVERS,
    putEntry: (id, address, born) =>
      kind === "engine"
        ? site.putEngine(id, address, "ready", born)
        : site.putService(id, address, born),
  });
  closers.push(servers.close);
  site.putConfiguration();
  const store = site.store.address;
  const { fleet, start } = await startFleet({ store, boxes, servers: SERVERS });

  const makeAsk = (body: string): Ask => ({
    path,
    body,
    ...(kind === "engine" && { headers: makeGeneration(300, 4) }),
  });
  const sendHarmless = (box: FleetBox, name: number) =>
    ask(box.ports, makeAsk(`sound ${name}`));
  /** Sends the crashing request and a harmless one; waits for neither. */
  const sendBoth = (box: FleetBox, name: number) => ({
    crashing: ask(box.ports, makeAsk(CRASHING_BODY)),
    harmless: sendHarmless(box, name),
  });
  let attempts = 0;
  /** Sends attempts to the boxes in turn until enough have been sent. */
  const sendAttempts = async (
    to: readonly FleetBox[],
    isEnough: (sent: number) => boolean,
  ) => {
    const sent: ReturnType<typeof sendBoth>[] = [];
    while (!isEnough(sent.length)) {
      sent.push(sendBoth(to[attempts % to.length]!, attempts));
      attempts += 1;
      await waitMs(ATTEMPT_PAUSE_MS);
    }
    return sent;
  };
  /** Sends attempts until three servers have crashed, and for the contact time after that. */
  const sendUntilBlocked = async () => {
    await sendAttempts(fleet, () => servers.countCrashes() >= CRASHES_ALLOWED);
    await sendAttempts(fleet, (sent) => sent >= CONTACT_MS / ATTEMPT_PAUSE_MS);
  };
  /** Sends attempts and counts those that still reach servers. */
  const countAttempts = async (to: readonly FleetBox[]) => {
    const before = servers.countArrivals();
    const sent = await sendAttempts(to, (count) => count >= COUNTED_ATTEMPTS);
    const harmless = await Promise.all(sent.map((one) => one.harmless));
    const crashing = await Promise.all(sent.map((one) => one.crashing));
    return {
      arrivals: servers.countArrivals() - before,
      served: harmless.filter(({ status, isWhole }) => status === 200 && isWhole).length,
      crashing,
    };
  };
  return { servers, fleet, start, sendHarmless, sendUntilBlocked, countAttempts };
};
