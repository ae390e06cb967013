/** Test helpers: what a process uses, as the operating system counts it. */
import { readdirSync, readFileSync } from "node:fs";
import { closers } from "./box.testkit.js";

/** The most that a process used. */
export type ProcessUse = Readonly<{ memoryMb: number; descriptors: number }>;

const BYTES_PER_KB = 1024;
const SAMPLE_MS = 50;

/** Samples what a process uses until it ends or the test does; returns what reads the most so far. */
export const watchUse = (
  pid: number,
  onSample: (use: ProcessUse) => void = () => undefined,
): (() => ProcessUse) => {
  let descriptors = 0;
  let memoryMb = 0;
  const sample = () => {
    try {
      descriptors = Math.max(descriptors, readdirSync(`/proc/${pid}/fd`).length);
      const status = readFileSync(`/proc/${pid}/status`, "utf8");
      const [, peakKb = "0"] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
      memoryMb = Math.max(memoryMb, Math.ceil(Number(peakKb) / BYTES_PER_KB));
    } catch {
      // The process has ended.
    }
    onSample({ memoryMb, descriptors });
  };
  const timer = setInterval(sample, SAMPLE_MS);
  closers.push(() => clearInterval(timer));
  return () => {
    sample();
    return { memoryMb, descriptors };
  };
};
