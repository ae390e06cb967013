/** Summarizes decision log lines: why requests waited, moved or were refused. */
import { renderTable, type Output } from "./output.js";

/** The fields of a decision log line that are used; `waited` is in milliseconds. */
type DecisionLine = Readonly<{
  decision: string;
  reason?: string;
  request: string;
  server?: string;
  waited?: number;
}>;

type Count = { lines: number; requests: Set<string>; waited: number[] };

const parseLine = (line: string): DecisionLine | undefined => {
  try {
    const value = JSON.parse(line) as Partial<DecisionLine> | null;
    return typeof value?.decision === "string" ? (value as DecisionLine) : undefined;
  } catch {
    return undefined;
  }
};

const findPercentile = (values: readonly number[], share: number): number | undefined => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
};

/** Counts decision lines by decision and reason; other lines are ignored. */
export const sumUpDecisions = (text: string): Output => {
  const counts = new Map<string, Count>();
  for (const line of text.split("\n")) {
    const decision = parseLine(line);
    if (!decision) continue;
    const key = `${decision.decision} ${decision.reason ?? "-"}`;
    const count = counts.get(key) ?? {
      lines: 0,
      requests: new Set<string>(),
      waited: [],
    };
    counts.set(key, count);
    count.lines += 1;
    count.requests.add(decision.request);
    if (decision.waited !== undefined) count.waited.push(decision.waited);
  }
  const rows = [...counts]
    .sort(([, a], [, b]) => b.lines - a.lines)
    .map(([key, { lines, requests, waited }]) => {
      const [decision, reason] = key.split(" ");
      return {
        decision,
        reason,
        lines,
        requests: requests.size,
        "waited p50 ms": findPercentile(waited, 0.5)?.toFixed(0),
        "waited p99 ms": findPercentile(waited, 0.99)?.toFixed(0),
      };
    });
  return { json: rows, text: renderTable(rows) };
};
