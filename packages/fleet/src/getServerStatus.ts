/** Returns a server's status as recorded by this box, and how old the information is. Pure. */
import type { Ms } from "@stairgauge/common";
import type { LeavingReason, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { ServerStatus } from "@stairgauge/forwarding";
import type { LoadRegistry } from "@stairgauge/placement";

/** Where the status is read from. */
export type ServerStatusSources = Readonly<{
  directory: Pick<ServerDirectory, "find">;
  registry: Pick<LoadRegistry, "findReport">;
}>;

/** Leaving reasons that mean that the server's start is no longer running. */
const GONE_REASONS: ReadonlySet<LeavingReason> = new Set([
  "entry_gone",
  "address_reused",
  "started_again",
]);

/**
 * Returns the status by the leaving mark of a server that leaves, and by the last report of a
 * server that doesn't.
 */
export const getServerStatus = (
  { directory, registry }: ServerStatusSources,
  server: ServerId,
  now: Ms,
): ServerStatus => {
  const known = directory.find(server);
  // A server that the directory no longer lists left long ago.
  if (!known) return { kind: "gone", age: undefined };
  if (known.leaving) {
    const { reason, since } = known.leaving;
    const kind = GONE_REASONS.has(reason) ? "gone" : "leaving";
    return { kind, age: (now - since) as Ms };
  }
  const reportedAt = registry.findReport(server)?.at;
  const age = reportedAt === undefined ? undefined : ((now - reportedAt) as Ms);
  return { kind: "ready", age };
};
