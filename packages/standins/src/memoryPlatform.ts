/** The stand-in platform in memory, without network: it implements the platform's interface on the model. */
import { Err, Ok, type Clock, type Ms, type Result } from "@stairgauge/common";
import type {
  Platform,
  ReadFailure,
  Row,
  RowWrite,
  WriteFailure,
} from "@stairgauge/stores";
import type { PlatformModel } from "./platformModel.js";

const DOWN_FAILURE = { kind: "store_unavailable", detail: "down" } as const;
const ANSWER_LOST_FAILURE = { kind: "answer_lost", detail: "lost" } as const;

/** Creates a platform on a model; the model's mode sets its faults. */
export const createMemoryPlatform = (model: PlatformModel, clock: Clock): Platform => {
  const wait = (): Promise<void> => {
    const { delayMs } = model.getMode();
    if (delayMs === 0) return Promise.resolve();
    return new Promise((resolve) => {
      clock.setTimer(delayMs as Ms, resolve);
    });
  };
  const read = async <T>(get: () => T): Promise<Result<T, ReadFailure>> => {
    if (model.getMode().isDown) return Err(DOWN_FAILURE);
    await wait();
    return Ok(get());
  };
  const writeRow = (write: RowWrite): Result<Row, WriteFailure> => {
    const result = model.writeRow(write);
    if (result.kind === "written") return Ok(result.row);
    return Err({ kind: "conflict", current: result.current });
  };
  const writeBatch = async (
    writes: readonly RowWrite[],
  ): Promise<readonly Result<Row, WriteFailure>[]> => {
    if (model.getMode().isDown) return writes.map(() => Err(DOWN_FAILURE));
    await wait();
    const results = writes.map(writeRow);
    return model.takeLostAnswer() ? writes.map(() => Err(ANSWER_LOST_FAILURE)) : results;
  };

  return {
    table: {
      read: (at) => read(() => model.readRow(at)),
      write: async (write) => (await writeBatch([write]))[0]!,
      writeBatch,
    },
    objects: {
      read: (name) => read(() => model.readObject(name)),
      write: async (name, content) => {
        if (model.getMode().isDown) return Err(DOWN_FAILURE);
        await wait();
        model.writeObject(name, content);
        return model.takeLostAnswer() ? Err(ANSWER_LOST_FAILURE) : Ok(undefined);
      },
    },
    boxes: { read: () => read(model.listServers) },
    close: () => Promise.resolve(),
  };
};
