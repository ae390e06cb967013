/** What a box knows of a server now, and how old that knowledge is. Pure. */
import type { Ms } from "@stairgauge/common";
import type { LeavingReason, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { ServerStatus } from "@stairgauge/forwarding";
import type { LoadRegistry } from "@stairgauge/placement";

/** Where the knowledge is kept. */
export type ServerStatusSources = Readonly<{
  directory: Pick<ServerDirectory, "find">;
  book: Pick<LoadRegistry, "findReport">;
}>;

/** Reasons that say that nothing listens under the server's identity any more. */
const GONE_REASONS: ReadonlySet<LeavingReason> = new Set([
  "entry_gone",
  "address_reused",
  "started_again",
]);

/** Judges by the mark of a server that leaves, and by the last report of one that does not. */
export const getServerStatus = (
  { directory, book }: ServerStatusSources,
  server: ServerId,
  now: Ms,
): ServerStatus => {
  const known = directory.find(server);
  // A server that the directory has forgotten left long ago.
  if (!known) return { kind: "gone", age: undefined };
  if (known.leaving) {
    const { reason, since } = known.leaving;
    const kind = GONE_REASONS.has(reason) ? "gone" : "leaving";
    return { kind, age: (now - since) as Ms };
  }
  const reportedAt = book.findReport(server)?.at;
  const age = reportedAt === undefined ? undefined : ((now - reportedAt) as Ms);
  return { kind: "ready", age };
};
