/**
 * Blocked requests as rows of the store, where they survive a restart of all boxes. An operator unblocks a request by dropping
 * its row.
 */
import { Err, Ok, runEach, type Clock, type Ms, type Result } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { FollowerSink, StoredRow } from "@stairgauge/storefeed";
import { z } from "zod";
import { REQUEST_DIGEST } from "./constants.js";
import type { RequestDigest, SharedCrash } from "./types.js";

const rowSchema = z.object({
  ends: z.array(z.object({ server: z.string(), at: z.number() })).max(64),
  /** Id of the part, if a part of a prompt is blocked. */
  part: z.string().optional(),
});

/** A row whose key or value could not be decoded. */
export type BlockedRowFailure = Readonly<{ kind: "unreadable_request"; key: string }>;

/** Encodes the crashes of a request. Ages become wall-clock times, which all boxes share. */
export const encodeBlockedRow = (ends: readonly SharedCrash[], now: Ms): Buffer =>
  Buffer.from(
    JSON.stringify({
      ends: ends.map(({ server, age }) => ({ server, at: now - age })),
      part: ends[0]?.part,
    }),
  );

/** Decodes the crashes of a row, whose key is the request's digest. A wall clock that jumped makes no age negative. */
const decodeBlockedRow = (
  { key, value }: Pick<StoredRow, "key" | "value">,
  now: Ms,
): Result<readonly SharedCrash[], BlockedRowFailure> => {
  try {
    const { ends, part } = rowSchema.parse(JSON.parse(value.toString("utf8")));
    return Ok(
      ends.map(({ server, at }) => ({
        digest: key as RequestDigest,
        server: server as ServerId,
        age: Math.max(0, now - at) as Ms,
        ...(part !== undefined && { part }),
      })),
    );
  } catch {
    return Err({ kind: "unreadable_request", key });
  }
};

/** The clock and the callbacks for changes of the rows. */
export type BlockedRowsOptions = Readonly<{
  clock: Pick<Clock, "now">;
  onListed: (ends: readonly SharedCrash[]) => void;
  /** A listed row has been dropped from the store. */
  onDropped: (digest: RequestDigest) => void;
  onUnreadable: (failure: BlockedRowFailure) => void;
}>;

/** The rows of the table as this box last read them. */
export type BlockedRows = Readonly<{
  /** Receives the rows and changes from the table's follower. */
  sink: FollowerSink;
  has: (digest: RequestDigest) => boolean;
  list: () => readonly RequestDigest[];
}>;

/** Creates an empty set of rows, to be filled through its sink. */
export const createBlockedRows = (options: BlockedRowsOptions): BlockedRows => {
  const { clock, onListed, onDropped, onUnreadable } = options;
  const listed = new Set<RequestDigest>();

  const put = (row: StoredRow) => {
    if (!REQUEST_DIGEST.test(row.key)) {
      onUnreadable({ kind: "unreadable_request", key: row.key });
      return;
    }
    // A row with an unreadable value is listed too, so that the box that removes expired rows drops it.
    listed.add(row.key as RequestDigest);
    const decoded = decodeBlockedRow(row, clock.now());
    if (decoded.ok) onListed(decoded.val);
    else onUnreadable(decoded.val);
  };
  const drop = (digest: RequestDigest) => {
    if (!listed.delete(digest)) return;
    try {
      onDropped(digest);
    } catch (error) {
      // The next read of the table drops it again.
      listed.add(digest);
      throw error;
    }
  };

  return {
    sink: {
      onWhole: (rows) => {
        const present = new Set<string>(rows.map(({ key }) => key));
        const absent = [...listed].filter((digest) => !present.has(digest));
        try {
          runEach(absent, drop);
        } finally {
          runEach(rows, put);
        }
      },
      onChanges: (changes) => {
        runEach(changes, (change) => {
          if (change.kind === "put") put(change.row);
          else drop(change.key as RequestDigest);
        });
      },
      onFailure: () => undefined,
      onRegained: () => undefined,
    },
    has: (digest) => listed.has(digest),
    list: () => [...listed],
  };
};
