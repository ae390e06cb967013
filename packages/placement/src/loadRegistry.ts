/** Registry of what this and other boxes have placed on servers, and of the engines' reports. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { EngineReport, PlacedRun } from "./types.js";

/** A change of this box's own runs; `run` is undefined if it was removed. */
export type RunChange = Readonly<{
  server: ServerId;
  id: string;
  run: PlacedRun | undefined;
}>;

/** A run and its server. */
export type PlacedAt = Readonly<{ server: ServerId; run: PlacedRun }>;

/** A report and the time it arrived. */
export type KeptReport = Readonly<{ report: EngineReport; at: Ms }>;

/** The load on record at one box. */
export type LoadRegistry = Readonly<{
  addOpen: (server: ServerId) => void;
  removeOpen: (server: ServerId) => void;
  countOpen: (server: ServerId) => number;
  addRun: (server: ServerId, run: PlacedRun) => void;
  removeRun: (server: ServerId, id: string) => void;
  /** Records that the first event of a run has arrived. */
  markBegun: (server: ServerId, id: string) => void;
  listRuns: (server: ServerId) => readonly PlacedRun[];
  listAllRuns: () => readonly PlacedAt[];
  /** Records a run that another box has reported. */
  putPeerRun: (peer: string, placed: PlacedAt) => void;
  removePeerRun: (peer: string, server: ServerId, id: string) => void;
  findPeerRun: (peer: string, server: ServerId, id: string) => PlacedRun | undefined;
  /** Removes all runs that a box has reported. */
  dropPeer: (peer: string) => void;
  listPeerRuns: (server: ServerId) => readonly PlacedRun[];
  /** Number of runs that other boxes have reported at a server, without a look at each box. */
  countPeerRuns: (server: ServerId) => number;
  /** Number of this box's runs at a server. */
  countRuns: (server: ServerId) => number;
  /** Lists the boxes that have reported runs on a server. */
  listPeersAt: (server: ServerId) => readonly string[];
  putReport: (server: ServerId, report: EngineReport, at: Ms) => void;
  findReport: (server: ServerId) => KeptReport | undefined;
  /** Removes a server with all that is recorded for it. */
  drop: (server: ServerId) => void;
}>;

type RunsById = Map<string, PlacedRun>;
type RunsByServer = Map<ServerId, RunsById>;

const putRun = <Key>(runs: Map<Key, RunsById>, key: Key, run: PlacedRun) => {
  const placed = runs.get(key) ?? new Map<string, PlacedRun>();
  placed.set(run.id, run);
  runs.set(key, placed);
};

const dropRun = <Key>(runs: Map<Key, RunsById>, key: Key, id: string) => {
  const placed = runs.get(key);
  placed?.delete(id);
  if (placed?.size === 0) runs.delete(key);
};

const sumSizes = (runs: ReadonlyMap<unknown, RunsById>): number => {
  let sum = 0;
  for (const placed of runs.values()) sum += placed.size;
  return sum;
};

/**
 * Creates an empty registry; `onChange` is called for each change of this box's own runs, and
 * `onPeerChange` for each change of other boxes' runs.
 */
export const createLoadRegistry = (
  onChange: (change: RunChange) => void = () => undefined,
  onPeerChange: (change: RunChange) => void = () => undefined,
): LoadRegistry => {
  const openRequests = new Map<ServerId, number>();
  const runs: RunsByServer = new Map();
  // Indexed by server first: a choice looks at every engine, and only few boxes have runs at one.
  const peerRuns = new Map<ServerId, Map<string, RunsById>>();
  const reports = new Map<ServerId, KeptReport>();

  const changeOpen = (server: ServerId, step: number) => {
    const count = (openRequests.get(server) ?? 0) + step;
    if (count > 0) openRequests.set(server, count);
    else openRequests.delete(server);
  };
  const addRun = (server: ServerId, run: PlacedRun) => {
    putRun(runs, server, run);
    onChange({ server, id: run.id, run });
  };
  const listPeers = (server: ServerId): ReadonlyMap<string, RunsById> =>
    peerRuns.get(server) ?? new Map<string, RunsById>();
  /** Changes the runs that boxes have reported at a server. */
  const changePeers = (
    server: ServerId,
    change: (byPeer: Map<string, RunsById>) => void,
  ) => {
    const byPeer = peerRuns.get(server) ?? new Map<string, RunsById>();
    change(byPeer);
    if (byPeer.size > 0) peerRuns.set(server, byPeer);
    else peerRuns.delete(server);
  };

  return {
    addOpen: (server) => changeOpen(server, 1),
    removeOpen: (server) => changeOpen(server, -1),
    countOpen: (server) => openRequests.get(server) ?? 0,
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
      changePeers(server, (byPeer) => putRun(byPeer, peer, run));
      onPeerChange({ server, id: run.id, run });
    },
    removePeerRun: (peer, server, id) => {
      changePeers(server, (byPeer) => dropRun(byPeer, peer, id));
      onPeerChange({ server, id, run: undefined });
    },
    findPeerRun: (peer, server, id) => listPeers(server).get(peer)?.get(id),
    dropPeer: (peer) => {
      for (const server of [...peerRuns.keys()]) {
        const ids = [...(listPeers(server).get(peer)?.keys() ?? [])];
        changePeers(server, (byPeer) => byPeer.delete(peer));
        for (const id of ids) onPeerChange({ server, id, run: undefined });
      }
    },
    listPeerRuns: (server) =>
      [...listPeers(server).values()].flatMap((placed) => [...placed.values()]),
    countPeerRuns: (server) => sumSizes(listPeers(server)),
    countRuns: (server) => runs.get(server)?.size ?? 0,
    listPeersAt: (server) => [...listPeers(server).keys()],
    putReport: (server, report, at) => void reports.set(server, { report, at }),
    findReport: (server) => reports.get(server),
    drop: (server) => {
      openRequests.delete(server);
      runs.delete(server);
      reports.delete(server);
      peerRuns.delete(server);
    },
  };
};
