/** Collects conditional writes into batches, with a limited number of batch calls per second. */
import type { Clock, Ms, Result } from "@stairgauge/common";
import type { Row, RowWrite, TableService, WriteFailure } from "@stairgauge/stores";

const MS_PER_SECOND = 1_000;
/** Most writes in one call. */
const MAX_BATCH = 200;

type Pending = Readonly<{
  write: RowWrite;
  resolve: (result: Result<Row, WriteFailure>) => void;
}>;

/** Writes rows in batches. */
export type WriteBatcher = Readonly<{
  /** Resolves with the result of this write once its batch was answered. */
  write: (write: RowWrite) => Promise<Result<Row, WriteFailure>>;
}>;

/** Creates a batcher that makes at most `callsPerSecond` batch calls. The first is sent without delay. */
export const createWriteBatcher = (options: {
  readonly table: TableService;
  readonly clock: Clock;
  readonly callsPerSecond: number;
}): WriteBatcher => {
  const { table, clock } = options;
  const interval = MS_PER_SECOND / options.callsPerSecond;
  let pending: Pending[] = [];
  let nextCallAt = 0;
  let isScheduled = false;

  const sendBatch = async () => {
    isScheduled = false;
    const batch = pending.slice(0, MAX_BATCH);
    pending = pending.slice(MAX_BATCH);
    nextCallAt = clock.monotonic() + interval;
    if (pending.length > 0) schedule();
    const results = await table.writeBatch(batch.map((one) => one.write));
    batch.forEach((one, i) => one.resolve(results[i]!));
  };
  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    const delay = Math.max(0, nextCallAt - clock.monotonic()) as Ms;
    clock.setTimer(delay, () => void sendBatch());
  };

  return {
    write: (write) =>
      new Promise((resolve) => {
        pending.push({ write, resolve });
        schedule();
      }),
  };
};
