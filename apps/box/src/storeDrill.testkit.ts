/** Simulates outages of the store after which it is restored from an older copy. */
import type { UsersSite } from "@stairgauge/standins";
import { waitMs, type BoxChanges } from "./box.testkit.js";
import type { SignalSite } from "./signalSite.testkit.js";

/**
 * Production times: shorter pauses hide the cost of repeated reads, and shorter patience ends
 * calls that a busy machine delays.
 */
export const PRODUCTION_TIMES: BoxChanges = { hasProductionTimes: true };

/** Course of an outage. */
export type Drill = Readonly<{
  /** Duration of the outage in ms; 0 if connections are only cut. */
  awayMs: number;
  mode: "reset" | "silent";
  /** Number of versions written after the copy and lost with the restore. */
  lostVersions: number;
  /** Number of versions written between the restore and the first answer. */
  regainedVersions: number;
}>;

export const DRILL: Drill = {
  awayMs: 1_000,
  mode: "reset",
  lostVersions: 30,
  regainedVersions: 0,
};

/** Time in ms in which boxes read a change. */
const PROPAGATION_MS = 700;

/** Changes that are made after the copy, and lost with the restore. */
export type LostWork = (site: UsersSite) => void;

/** Runs an outage up to the store's return. */
export const runDrill = async (
  { site }: Pick<SignalSite, "site">,
  drill: Drill = DRILL,
  doLostWork: LostWork = () => undefined,
): Promise<void> => {
  const { store } = site;
  const copy = store.copy();
  store.advanceRevision(drill.lostVersions);
  // The change of the configuration makes the boxes read the new versions.
  site.putConfiguration();
  doLostWork(site);
  await waitMs(PROPAGATION_MS);
  if (drill.awayMs > 0) store.setMode(drill.mode);
  await waitMs(drill.awayMs);
  store.restore(copy);
  store.advanceRevision(drill.regainedVersions);
  store.setMode("up");
};
