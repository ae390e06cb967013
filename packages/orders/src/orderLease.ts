/**
 * The lease that lets only one box at a time send orders to an engine, stored in the table service.
 *
 * Each new holder gets a higher fencing token than all holders before it. An engine that checks
 * tokens refuses older ones. Before sending to an engine that does not, a new holder waits until the
 * deadline of every order of the previous holder has passed.
 */
import { z } from "zod";
import { Err, Ok, type Clock, type Ms, type Result } from "@stairgauge/common";
import type { Row, RowKey, TableService } from "@stairgauge/stores";
import { LEASE_MARGIN_MS, LEASE_MS, ORDER_LIFE_MS } from "./constants.js";

/** A lease that this box holds. */
export type HeldLease = Readonly<{
  fencingToken: number;
  /** Revision of the lease's row. */
  revision: number;
  /** Monotonic time until which orders may be sent. */
  usableUntil: Ms;
  /** Monotonic time before which no order is sent to an engine that does not check tokens. */
  quietUntil: Ms;
}>;

/** Why the lease was not acquired. */
export type LeaseFailure = Readonly<
  | { kind: "held_by_another"; holder: string; endsIn: Ms }
  | { kind: "lost_race" }
  | { kind: "store_unavailable" }
>;

/** The lease of one engine. */
export type OrderLease = Readonly<{
  /** Acquires or renews the lease. */
  acquire: () => Promise<Result<HeldLease, LeaseFailure>>;
  /** Returns the lease while orders may be sent under it, else undefined. */
  getUsable: () => HeldLease | undefined;
}>;

const leaseSchema = z.object({
  holder: z.string(),
  /** Id of the holder's process; it changes when the box restarts. */
  incarnation: z.string(),
  fencingToken: z.int(),
  /** Wall time of the lease's end. A hint for how long to wait, not proof that the lease has ended. */
  endsAt: z.number(),
});

type LeaseRecord = z.infer<typeof leaseSchema>;

const decodeLease = (row: Row): LeaseRecord | undefined => {
  try {
    return leaseSchema.safeParse(JSON.parse(row.value)).data;
  } catch {
    return undefined;
  }
};

/** Creates the lease of one engine for the box `holder`. */
export const createOrderLease = (options: {
  readonly table: TableService;
  readonly clock: Clock;
  readonly engine: string;
  readonly holder: string;
  readonly incarnation: string;
}): OrderLease => {
  const { table, clock, holder, incarnation } = options;
  const at: RowKey = { table: "leases", key: `orders/${options.engine}` };
  let held: HeldLease | undefined;

  const isOwn = (record: LeaseRecord): boolean =>
    record.holder === holder && record.incarnation === incarnation;

  /** Returns why the stored lease may not be replaced, or undefined if it may. */
  const findConflict = (record: LeaseRecord | undefined): LeaseFailure | undefined => {
    if (!record || isOwn(record)) return undefined;
    const endsIn = (record.endsAt - clock.now()) as Ms;
    if (endsIn <= 0) return undefined;
    return { kind: "held_by_another", holder: record.holder, endsIn };
  };

  const toHeld = (row: Row, record: LeaseRecord, begunAt: Ms): HeldLease => {
    const isRenewal = held?.fencingToken === record.fencingToken;
    return {
      fencingToken: record.fencingToken,
      revision: row.revision,
      usableUntil: (begunAt + LEASE_MS - LEASE_MARGIN_MS) as Ms,
      quietUntil: isRenewal && held ? held.quietUntil : ((begunAt + ORDER_LIFE_MS) as Ms),
    };
  };

  const acquire = async (): Promise<Result<HeldLease, LeaseFailure>> => {
    // NOTE: the lease's time counts from before the write, so a slow answer leaves less of it.
    const begunAt = clock.monotonic();
    const read = await table.read(at);
    if (read.err) return Err({ kind: "store_unavailable" });
    const current = read.val && decodeLease(read.val);
    const conflict = findConflict(current);
    if (conflict) return Err(conflict);
    const isRenewal = current !== undefined && isOwn(current);
    const fencingToken = (current?.fencingToken ?? 0) + (isRenewal ? 0 : 1);
    const record: LeaseRecord = {
      holder,
      incarnation,
      fencingToken,
      endsAt: clock.now() + LEASE_MS,
    };
    const written = await table.write({
      at,
      value: JSON.stringify(record),
      expected: read.val
        ? { kind: "revision", revision: read.val.revision }
        : { kind: "absent" },
    });
    if (written.ok) {
      held = toHeld(written.val, record, begunAt);
      return Ok(held);
    }
    // NOTE: if the answer was lost, the next acquire reads the row and recognizes it as its own.
    return Err({
      kind: written.val.kind === "conflict" ? "lost_race" : "store_unavailable",
    });
  };

  return {
    acquire,
    getUsable: () => (held && clock.monotonic() < held.usableUntil ? held : undefined),
  };
};
