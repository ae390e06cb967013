/** Small fakes for tests of the admission of plain requests: servers with slots, and a queue in order of arrival. */
import type { AdmissionEntry, AdmissionQueue } from "@stairgauge/admission";
import type { Ms, VirtualClock } from "@stairgauge/common";

export type FleetOptions = Readonly<{
  boxes: number;
  /** Slots of each server, which accepts no request beyond them and `extra`. */
  slots: readonly number[];
  extra: number;
  work: number;
  /** Delay of a message between boxes. */
  delay: number;
  /** Whether the servers state in all answers that they are brittle. */
  isBrittle?: boolean;
  /** Most requests that wait at the admitting box; the others are refused at once. */
  maxWaiting?: number;
  /** Connections that each server accepts from all boxes together; any number if undefined. */
  connections?: number;
}>;

/** A queue in order of arrival. */
export const createFifoQueue = (
  maxWaiting = Infinity,
): Pick<AdmissionQueue, "add" | "onRoom"> => {
  const waiting: AdmissionEntry[] = [];
  const remove = (entry: AdmissionEntry) => {
    const at = waiting.indexOf(entry);
    if (at >= 0) waiting.splice(at, 1);
  };
  return {
    add: (entry) => {
      if (waiting.length === 0 && entry.attempt()) return () => undefined;
      if (waiting.length >= maxWaiting && entry.kind === "plain")
        entry.refuse(400 as Ms, "no_room");
      else waiting.push(entry);
      return () => remove(entry);
    },
    onRoom: () => {
      while (waiting[0]?.attempt()) waiting.shift();
    },
  };
};

/** Servers that process as many requests at a time as they have slots, queue `extra`, and reject the others. */
export const createServers = (clock: VirtualClock, options: FleetOptions) => {
  const present = options.slots.map(() => 0);
  const maxPresent = options.slots.map(() => 0);
  const queues = options.slots.map((): (() => void)[] => []);
  const start = (index: number, onEnd: (isServed: boolean) => void) =>
    clock.setTimer(options.work as Ms, () => {
      present[index]! -= 1;
      queues[index]!.shift()?.();
      onEnd(true);
    });
  return {
    present,
    maxPresent,
    /** Sends a request; `onEnd` is called with whether it was served. */
    send: (index: number, onEnd: (isServed: boolean) => void) => {
      const slots = options.slots[index]!;
      if (present[index]! >= slots + options.extra) {
        clock.setTimer(1 as Ms, () => onEnd(false));
        return;
      }
      present[index]! += 1;
      maxPresent[index] = Math.max(maxPresent[index]!, present[index]!);
      if (present[index]! <= slots) start(index, onEnd);
      else queues[index]!.push(() => start(index, onEnd));
    },
  };
};
