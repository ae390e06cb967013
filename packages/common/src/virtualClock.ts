/** A clock for tests and benchmarks that moves only by calls of `advance` and `step`. */
import type { Clock } from "./clock.js";
import type { Ms } from "./types.js";

type PendingTimer = Readonly<{ at: number; order: number; fire: () => void }>;

/** A clock whose time is moved by its owner. */
export type VirtualClock = Clock &
  Readonly<{
    /** Moves the time forward by `duration` and fires due timers in order. */
    advance: (duration: Ms) => void;
    /** Moves to the next timer and fires it; returns false if no timer is set. */
    step: () => boolean;
    /** Time of the next timer; undefined if no timer is set. */
    getNextAt: () => Ms | undefined;
  }>;

const isBefore = (a: PendingTimer, b: PendingTimer): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Creates a binary min-heap of timers, by time and then by the order in which they were set. */
const createTimerHeap = () => {
  const items: PendingTimer[] = [];
  const swap = (i: number, j: number) => {
    const previous = items[i]!;
    items[i] = items[j]!;
    items[j] = previous;
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
      let earliest = i;
      if (left < items.length && isBefore(items[left]!, items[earliest]!))
        earliest = left;
      if (right < items.length && isBefore(items[right]!, items[earliest]!))
        earliest = right;
      if (earliest === i) return;
      swap(i, earliest);
      i = earliest;
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

/** Creates a virtual clock whose time begins at `start`. */
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

  const setTimer: Clock["setTimer"] = (delay, fire) => {
    if (delay === Infinity) return { cancel: () => undefined };
    const timerOrder = order++;
    let isPending = true;
    const run = () => {
      isPending = false;
      fire();
    };
    heap.add({ at: time + Math.max(0, delay), order: timerOrder, fire: run });
    return {
      cancel: () => {
        if (isPending) cancelled.add(timerOrder);
        isPending = false;
      },
    };
  };

  return {
    now: () => time as Ms,
    monotonic: () => time as Ms,
    boottime: () => time as Ms,
    setTimer,
    setTimeLimit: setTimer,
    advance: (duration) => {
      const endsAt = time + duration;
      for (
        let next = getNextAt();
        next !== undefined && next <= endsAt;
        next = getNextAt()
      )
        step();
      time = endsAt;
    },
    step,
    getNextAt,
  };
};
