/** What this box has placed where, and what engines said of themselves. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { EngineReport } from "./types.js";

/** A run that this box has placed. */
export type PlacedRun = Readonly<{
  id: string;
  promptTokens: number;
  /** Tokens that it is expected to make in all. */
  expectedOut: number;
  /** Its first event has come: its prompt has been read. */
  hasBegun: boolean;
  /** It may run once only, so that it outlives its engine by a move of its memory or not at all. */
  isMovable: boolean;
}>;

/** A change of this box's own runs; without a run it was dropped. */
export type RunChange = Readonly<{
  server: ServerId;
  id: string;
  run: PlacedRun | undefined;
}>;

/** A run of this box and where it is. */
export type PlacedAt = Readonly<{ server: ServerId; run: PlacedRun }>;

/** A report and when it came. */
export type KeptReport = Readonly<{ report: EngineReport; at: Ms }>;

/** The book of one box. */
export type LoadRegistry = Readonly<{
  addOpen: (server: ServerId) => void;
  removeOpen: (server: ServerId) => void;
  countOpen: (server: ServerId) => number;
  addRun: (server: ServerId, run: PlacedRun) => void;
  removeRun: (server: ServerId, id: string) => void;
  /** A run's first event has come. */
  markBegun: (server: ServerId, id: string) => void;
  listRuns: (server: ServerId) => readonly PlacedRun[];
  listAllRuns: () => readonly PlacedAt[];
  /** Takes what another box tells of its runs. */
  putPeerRun: (peer: string, placed: PlacedAt) => void;
  removePeerRun: (peer: string, server: ServerId, id: string) => void;
  /** Forgets all that a box told. */
  dropPeer: (peer: string) => void;
  listPeerRuns: (server: ServerId) => readonly PlacedRun[];
  /** Boxes that have told of runs at a server. */
  listPeersAt: (server: ServerId) => readonly string[];
  putReport: (server: ServerId, report: EngineReport, at: Ms) => void;
  findReport: (server: ServerId) => KeptReport | undefined;
  /** Forgets a server. */
  drop: (server: ServerId) => void;
}>;

type RunsByServer = Map<ServerId, Map<string, PlacedRun>>;

const putRun = (runs: RunsByServer, server: ServerId, run: PlacedRun) => {
  const placed = runs.get(server) ?? new Map<string, PlacedRun>();
  placed.set(run.id, run);
  runs.set(server, placed);
};

const dropRun = (runs: RunsByServer, server: ServerId, id: string) => {
  const placed = runs.get(server);
  placed?.delete(id);
  if (placed?.size === 0) runs.delete(server);
};

/** Creates an empty book; `onChange` hears each change of this box's own runs. */
export const createLoadRegistry = (
  onChange: (change: RunChange) => void = () => undefined,
): LoadRegistry => {
  const open = new Map<ServerId, number>();
  const runs: RunsByServer = new Map();
  const peers = new Map<string, RunsByServer>();
  const reports = new Map<ServerId, KeptReport>();

  const changeOpen = (server: ServerId, step: number) => {
    const count = (open.get(server) ?? 0) + step;
    if (count > 0) open.set(server, count);
    else open.delete(server);
  };
  const addRun = (server: ServerId, run: PlacedRun) => {
    putRun(runs, server, run);
    onChange({ server, id: run.id, run });
  };

  return {
    addOpen: (server) => changeOpen(server, 1),
    removeOpen: (server) => changeOpen(server, -1),
    countOpen: (server) => open.get(server) ?? 0,
    addRun,
    removeRun: (server, id) => {
      dropRun(runs, server, id);
      onChange({ server, id, run: undefined });
    },
    markBegun: (server, id) => {
      const run = runs.get(server)?.get(id);
      if (run) addRun(server, { ...run, hasBegun: true });
    },
    listRuns: (server) => [...(runs.get(server)?.values() ?? [])],
    listAllRuns: () =>
      [...runs].flatMap(([server, placed]) =>
        [...placed.values()].map((run) => ({ server, run })),
      ),
    putPeerRun: (peer, { server, run }) => {
      const told = peers.get(peer) ?? new Map<ServerId, Map<string, PlacedRun>>();
      putRun(told, server, run);
      peers.set(peer, told);
    },
    removePeerRun: (peer, server, id) => {
      const told = peers.get(peer);
      if (told) dropRun(told, server, id);
    },
    dropPeer: (peer) => void peers.delete(peer),
    listPeerRuns: (server) =>
      [...peers.values()].flatMap((told) => [...(told.get(server)?.values() ?? [])]),
    listPeersAt: (server) =>
      [...peers].filter(([, told]) => told.has(server)).map(([peer]) => peer),
    putReport: (server, report, at) => void reports.set(server, { report, at }),
    findReport: (server) => reports.get(server),
    drop: (server) => {
      open.delete(server);
      runs.delete(server);
      reports.delete(server);
      for (const told of peers.values()) told.delete(server);
    },
  };
};
