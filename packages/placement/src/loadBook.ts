/** What this box has placed where, and what engines said of themselves. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { EngineReport } from "./types.js";

/** A run that this box has placed. */
export type PlacedRun = Readonly<{
  id: string;
  placedAt: Ms;
  promptTokens: number;
  /** Tokens that it is expected to make in all. */
  expectedOut: number;
  /** Its first event has come: its prompt has been read. */
  hasBegun: boolean;
}>;

/** A report and when it came. */
export type KeptReport = Readonly<{ report: EngineReport; at: Ms }>;

/** The book of one box. */
export type LoadBook = Readonly<{
  addOpen: (server: ServerId) => void;
  removeOpen: (server: ServerId) => void;
  countOpen: (server: ServerId) => number;
  addRun: (server: ServerId, run: PlacedRun) => void;
  removeRun: (server: ServerId, id: string) => void;
  /** A run's first event has come. */
  markBegun: (server: ServerId, id: string) => void;
  listRuns: (server: ServerId) => readonly PlacedRun[];
  putReport: (server: ServerId, report: EngineReport, at: Ms) => void;
  findReport: (server: ServerId) => KeptReport | undefined;
  /** Forgets a server. */
  drop: (server: ServerId) => void;
}>;

/** Creates an empty book. */
export const createLoadBook = (): LoadBook => {
  const open = new Map<ServerId, number>();
  const runs = new Map<ServerId, Map<string, PlacedRun>>();
  const reports = new Map<ServerId, KeptReport>();

  const changeOpen = (server: ServerId, step: number) => {
    const count = (open.get(server) ?? 0) + step;
    if (count > 0) open.set(server, count);
    else open.delete(server);
  };

  return {
    addOpen: (server) => changeOpen(server, 1),
    removeOpen: (server) => changeOpen(server, -1),
    countOpen: (server) => open.get(server) ?? 0,
    addRun: (server, run) => {
      const placed = runs.get(server) ?? new Map<string, PlacedRun>();
      placed.set(run.id, run);
      runs.set(server, placed);
    },
    removeRun: (server, id) => {
      const placed = runs.get(server);
      placed?.delete(id);
      if (placed?.size === 0) runs.delete(server);
    },
    markBegun: (server, id) => {
      const placed = runs.get(server);
      const run = placed?.get(id);
      if (placed && run) placed.set(id, { ...run, hasBegun: true });
    },
    listRuns: (server) => [...(runs.get(server)?.values() ?? [])],
    putReport: (server, report, at) => void reports.set(server, { report, at }),
    findReport: (server) => reports.get(server),
    drop: (server) => {
      open.delete(server);
      runs.delete(server);
      reports.delete(server);
    },
  };
};
