/** Starts Node programs as child processes, for tests and benchmarks only. */
import { spawn, type ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";

/** A started process. */
export type SpawnedProcess = Readonly<{
  /** 0 if the process could not be started. */
  pid: number;
  /** Resolves with the first line of stdout or stderr that matches; rejects if the process ends first. */
  waitForLine: (pattern: RegExp) => Promise<RegExpExecArray>;
  /** All lines of stdout and stderr so far. */
  listLines: () => readonly string[];
  /** Resolves with the exit code, or null if a signal ended the process. */
  waitForExit: () => Promise<number | null>;
  kill: (signal: NodeJS.Signals) => void;
}>;

type LineWaiter = Readonly<{
  pattern: RegExp;
  resolve: (match: RegExpExecArray) => void;
  reject: (error: Error) => void;
}>;

/** Running child processes. They are killed when this process exits, also after an uncaught error, so that none is left over. */
const runningChildren = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});

/** Starts `node` with these arguments. */
export const spawnProcess = (args: readonly string[]): SpawnedProcess => {
  const child = spawn(process.execPath, [...args], { stdio: ["ignore", "pipe", "pipe"] });
  runningChildren.add(child);
  const lines: string[] = [];
  let waiters: LineWaiter[] = [];
  let exit: { readonly code: number | null } | undefined;

  const handleLine = (line: string) => {
    lines.push(line);
    waiters = waiters.filter(({ pattern, resolve }) => {
      const match = pattern.exec(line);
      if (match) resolve(match);
      return !match;
    });
  };
  createInterface({ input: child.stdout }).on("line", handleLine);
  createInterface({ input: child.stderr }).on("line", handleLine);

  const exited = new Promise<number | null>((resolve) => {
    child.on("close", (code) => {
      exit = { code };
      runningChildren.delete(child);
      const error = new Error(
        `node ${args.join(" ")} ended (${code}):\n${lines.join("\n")}`,
      );
      for (const waiter of waiters) waiter.reject(error);
      resolve(code);
    });
  });

  return {
    pid: child.pid ?? 0,
    listLines: () => lines,
    waitForExit: () => exited,
    kill: (signal) => {
      child.kill(signal);
    },
    waitForLine: (pattern) => {
      for (const line of lines) {
        const match = pattern.exec(line);
        if (match) return Promise.resolve(match);
      }
      if (exit)
        return Promise.reject(
          new Error(
            `process ended before a line matched ${pattern}: ${lines.join("\n")}`,
          ),
        );
      return new Promise((resolve, reject) => waiters.push({ pattern, resolve, reject }));
    },
  };
};
