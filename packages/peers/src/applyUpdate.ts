/** Applies an update of another box to the state of this one. */
import type { ContentionUpdate } from "@stairgauge/capacity";
import type { BoxName } from "@stairgauge/common";
import type { CrashUpdate } from "@stairgauge/crashes";
import type { ServerId } from "@stairgauge/directory";
import type { LimitUpdate } from "@stairgauge/limits";
import { isPlainRun, type LoadRegistry } from "@stairgauge/placement";
import type { SharedOrigin } from "@stairgauge/origins";
import type { SharedPace } from "@stairgauge/pace";
import type { RunUpdate, SharedLeaving, SharedReport } from "./types.js";

/** Receivers of the parts of an update. */
export type UpdateSinks = Readonly<{
  registry: LoadRegistry;
  onLeaving: (shared: SharedLeaving) => void;
  onReport: (shared: SharedReport) => void;
  onBroken: (server: ServerId) => void;
  /** A run of the other box has begun at the server. */
  onAnswered: (server: ServerId) => void;
  onCrashes: (update: CrashUpdate) => void;
  onLimits: (update: LimitUpdate, by: BoxName) => void;
  /** Whether this box lists the server. Plain requests at other servers are not recorded, since nothing would remove them. */
  isListed?: ((server: ServerId) => boolean) | undefined;
  /** Runs of the other box have ended at the server. */
  onEnded?: ((server: ServerId) => void) | undefined;
  onContended?: ((update: ContentionUpdate, by: BoxName) => void) | undefined;
  onOrigins?: ((origins: readonly SharedOrigin[]) => void) | undefined;
  onPaces?: ((paces: readonly SharedPace[], by: BoxName) => void) | undefined;
}>;

/** Applies an update; a whole one replaces all runs on record of the box. */
export const applyUpdate = (sinks: UpdateSinks, update: RunUpdate): void => {
  const { registry, onLeaving, onReport, onBroken, onAnswered, onCrashes } = sinks;
  const { box, isWhole, drop, leaving, reports, broken } = update;
  const { isListed = () => true } = sinks;
  const put = update.put.filter(
    ({ server, run }) => !isPlainRun(run) || isListed(server),
  );
  if (isWhole) registry.dropPeer(box);
  for (const placed of put) registry.putPeerRun(box, placed);
  // The runs in a whole update may have begun long ago.
  const begun = isWhole ? [] : put.filter(({ run }) => run.hasBegun);
  for (const { server } of begun) onAnswered(server);
  for (const server of broken) onBroken(server);
  for (const { server, id } of drop) registry.removePeerRun(box, server, id);
  for (const shared of leaving) onLeaving(shared);
  for (const shared of reports) onReport(shared);
  onCrashes(update.crashes);
  sinks.onLimits(update.limits, box);
  // After the runs: the requests left at a server that rejected one are its usable slots.
  if (update.contended) sinks.onContended?.(update.contended, box);
  for (const server of new Set(drop.map((ended) => ended.server)))
    sinks.onEnded?.(server);
  if (update.origins) sinks.onOrigins?.(update.origins);
  if (update.paces) sinks.onPaces?.(update.paces, box);
};
