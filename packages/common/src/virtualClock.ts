/** A clock for tests and measurements that moves only when told to. */
import type { Clock } from "./clock.js";
import type { Ms } from "./types.js";

type PendingTimer = Readonly<{ at: number; order: number; fire: () => void }>;

/** A clock whose owner moves time. */
export type VirtualClock = Clock &
  Readonly<{
    /** Moves time forward by `duration`, firing due timers in order. */
    advance: (duration: Ms) => void;
    /** Moves to the next timer and fires it; false when none is set. */
    step: () => boolean;
    /** Time of the next timer, if any. */
    getNextAt: () => Ms | undefined;
  }>;

const isBefore = (a: PendingTimer, b: PendingTimer): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Binary min-heap by (time, order of setting). */
const createTimerHeap = () => {
  const items: PendingTimer[] = [];
  const swap = (i: number, j: number) => {
    const held = items[i]!;
    items[i] = items[j]!;
    items[j] = held;
  };
  const siftUp = (start: number) => {
    let i = start;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!isBefore(items[i]!, items[parent]!)) return;
      swap(i, parent);
      i = parent;
    }
  };
  const siftDown = () => {
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      const right = left + 1;
      let least = i;
      if (left < items.length && isBefore(items[left]!, items[least]!)) least = left;
      if (right < items.length && isBefore(items[right]!, items[least]!)) least = right;
      if (least === i) return;
      swap(i, least);
      i = least;
    }
  };
  return {
    getFirst: () => items[0],
    add: (timer: PendingTimer) => {
      items.push(timer);
      siftUp(items.length - 1);
    },
    removeFirst: () => {
      const first = items[0];
      const last = items.pop();
      if (items.length > 0 && last) {
        items[0] = last;
        siftDown();
      }
      return first;
    },
  };
};

/** Creates a virtual clock that starts at `start` milliseconds. */
export const createVirtualClock = (start: Ms = 0 as Ms): VirtualClock => {
  let time: number = start;
  let order = 0;
  const cancelled = new Set<number>();
  const heap = createTimerHeap();

  const dropCancelled = () => {
    for (let first = heap.getFirst(); first; first = heap.getFirst()) {
      if (!cancelled.delete(first.order)) return;
      heap.removeFirst();
    }
  };
  const getNextAt = () => {
    dropCancelled();
    return heap.getFirst()?.at as Ms | undefined;
  };
  const step = () => {
    dropCancelled();
    const timer = heap.removeFirst();
    if (!timer) return false;
    time = Math.max(time, timer.at);
    timer.fire();
    return true;
  };

  return {
    now: () => time as Ms,
    monotonic: () => time as Ms,
    boottime: () => time as Ms,
    setTimer: (delay, fire) => {
      const own = order++;
      let isPending = true;
      const run = () => {
        isPending = false;
        fire();
      };
      heap.add({ at: time + Math.max(0, delay), order: own, fire: run });
      return {
        cancel: () => {
          if (isPending) cancelled.add(own);
          isPending = false;
        },
      };
    },
    advance: (duration) => {
      const end = time + duration;
      for (let next = getNextAt(); next !== undefined && next <= end; next = getNextAt())
        step();
      time = end;
    },
    step,
    getNextAt,
  };
};
