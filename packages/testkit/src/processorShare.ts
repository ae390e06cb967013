/** Holds processes to a share of one processor, by stopping and continuing them. Linux only; for tests and benchmarks. */
import { readFileSync } from "node:fs";

/** Holds processes to their shares until it is released. */
export type ShareKeeper = Readonly<{
  /** Holds a process to this share of one processor, from 0 to 1, from now on. */
  hold: (pid: number, share: number) => void;
  /** Continues all processes and leaves them alone from now on. */
  release: () => void;
}>;

type HeldProcess = {
  readonly share: number;
  /** Processor time in ms that the process may have used by now. */
  allowedMs: number;
  isStopped: boolean;
};

const CHECK_INTERVAL_MS = 5;

/** A process that was idle may use this much at once. */
const MAX_UNUSED_MS = 5;

const NS_PER_MS = 1_000_000;

const readSchedulerTimeMs = (pid: number): number =>
  Number(readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ")[0]) / NS_PER_MS;

/** Creates a keeper that holds no process yet. */
export const createShareKeeper = (): ShareKeeper => {
  const held = new Map<number, HeldProcess>();
  let checkedAt = performance.now();

  const setStopped = (pid: number, one: HeldProcess, isStopped: boolean) => {
    if (one.isStopped === isStopped) return;
    process.kill(pid, isStopped ? "SIGSTOP" : "SIGCONT");
    one.isStopped = isStopped;
  };
  const check = (pid: number, one: HeldProcess, elapsedMs: number) => {
    const usedMs = readSchedulerTimeMs(pid);
    const allowed = one.allowedMs + elapsedMs * one.share;
    one.allowedMs = Math.min(allowed, usedMs + MAX_UNUSED_MS);
    setStopped(pid, one, usedMs > one.allowedMs);
  };
  const runForAll = (act: (pid: number, one: HeldProcess) => void) => {
    for (const [pid, one] of held) {
      try {
        act(pid, one);
      } catch {
        // The process has ended.
        held.delete(pid);
      }
    }
  };
  const checkAll = () => {
    const now = performance.now();
    runForAll((pid, one) => check(pid, one, now - checkedAt));
    checkedAt = now;
  };
  const timer = setInterval(checkAll, CHECK_INTERVAL_MS);

  return {
    hold: (pid, share) => {
      const usedMs = readSchedulerTimeMs(pid);
      held.set(pid, { share, allowedMs: usedMs, isStopped: false });
    },
    release: () => {
      clearInterval(timer);
      runForAll((pid, one) => setStopped(pid, one, false));
      held.clear();
    },
  };
};
