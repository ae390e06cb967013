/** Reads CPU time and memory of another process from /proc (Linux). */
import { readFileSync } from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100;
const UTIME_FIELD = 11;
const KIB = 1024;

/** What a process has used. */
export type ProcessUsage = Readonly<{ cpuSeconds: number; residentBytes: number }>;

/** Reads the usage of a process. */
export const readUsage = (pid: number): ProcessUsage => {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The second field is the process name in parentheses, which may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const resident = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? "0";
  return {
    cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
    residentBytes: Number(resident) * KIB,
  };
};
