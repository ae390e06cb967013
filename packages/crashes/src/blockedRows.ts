/** Blocked requests as rows of the store, where they outlast all boxes; an operator releases one by dropping its row. */
import { Err, Ok, type Clock, type Ms, type Result } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { FollowerSink, StoredRow } from "@stairgauge/storefeed";
import { z } from "zod";
import { REQUEST_DIGEST } from "./constants.js";
import type { RequestDigest, SharedCrash } from "./types.js";

const rowSchema = z.object({
  ends: z.array(z.object({ server: z.string(), at: z.number() })).max(64),
});

/** Why a row says nothing of a request. */
export type BlockedRowFailure = Readonly<{ kind: "unreadable_request"; key: string }>;

/** Encodes the ends of a request; the times are times of day, which boxes share. */
export const encodeBlockedRow = (ends: readonly SharedCrash[], now: Ms): Buffer =>
  Buffer.from(
    JSON.stringify({ ends: ends.map(({ server, age }) => ({ server, at: now - age })) }),
  );

/** Decodes a row under the key of a request; a time of day that jumped makes no end younger than now. */
const decodeBlockedRow = (
  { key, value }: Pick<StoredRow, "key" | "value">,
  now: Ms,
): Result<readonly SharedCrash[], BlockedRowFailure> => {
  try {
    const { ends } = rowSchema.parse(JSON.parse(value.toString("utf8")));
    return Ok(
      ends.map(({ server, at }) => ({
        digest: key as RequestDigest,
        server: server as ServerId,
        age: Math.max(0, now - at) as Ms,
      })),
    );
  } catch {
    return Err({ kind: "unreadable_request", key });
  }
};

/** Who hears what the rows say. */
export type BlockedRowsOptions = Readonly<{
  clock: Pick<Clock, "now">;
  onListed: (ends: readonly SharedCrash[]) => void;
  /** A row that was there is gone. */
  onDropped: (digest: RequestDigest) => void;
  onUnreadable: (failure: BlockedRowFailure) => void;
}>;

/** The rows, as a box follows them. */
export type BlockedRows = Readonly<{
  /** For the follower of the table. */
  sink: FollowerSink;
  has: (digest: RequestDigest) => boolean;
  list: () => readonly RequestDigest[];
}>;

/** Creates the sink before the first read. */
export const createBlockedRows = (options: BlockedRowsOptions): BlockedRows => {
  const { clock, onListed, onDropped, onUnreadable } = options;
  const listed = new Set<RequestDigest>();

  const put = (row: StoredRow) => {
    if (!REQUEST_DIGEST.test(row.key)) {
      onUnreadable({ kind: "unreadable_request", key: row.key });
      return;
    }
    // Listed even if its ends can't be read: its keeper drops it in time.
    listed.add(row.key as RequestDigest);
    const decoded = decodeBlockedRow(row, clock.now());
    if (decoded.ok) onListed(decoded.val);
    else onUnreadable(decoded.val);
  };
  const drop = (digest: RequestDigest) => {
    if (listed.delete(digest)) onDropped(digest);
  };

  return {
    sink: {
      onWhole: (rows) => {
        const there = new Set<string>(rows.map(({ key }) => key));
        for (const digest of [...listed]) if (!there.has(digest)) drop(digest);
        rows.forEach(put);
      },
      onChanges: (changes) => {
        for (const change of changes) {
          if (change.kind === "put") put(change.row);
          else drop(change.key as RequestDigest);
        }
      },
      onFailure: () => undefined,
      onRegained: () => undefined,
    },
    has: (digest) => listed.has(digest),
    list: () => [...listed],
  };
};
