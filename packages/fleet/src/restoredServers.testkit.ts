/**
 * Simulates a store on virtual time, with servers that start, leave and crash, and one box that
 * follows their entries.
 */
import {
  createSeededRandom,
  createVirtualClock,
  Err,
  Ok,
  type Ms,
} from "@stairgauge/common";
import { createServerDirectory } from "@stairgauge/directory";
import {
  createRestoreGuard,
  createRevisionWatermark,
  createTableFollower,
  makeRevision,
  type RowChange,
  type StoredRow,
  type StoreReader,
} from "@stairgauge/storefeed";
import { makeEntry, SERVICE } from "./entries.testkit.js";
import { createServerSink } from "./followServers.js";
import { createServerRestoreRules } from "./restoreRules.js";

const TABLE = "servers";

/**
 * Interval at which servers write their entry, and time after which the store drops an entry that
 * was not written.
 */
const HEARTBEAT_MS = 1_200 as Ms;
const LAPSE_MS = 3 * HEARTBEAT_MS;

/** Time from a server's announcement that it leaves to the removal of its entry. */
const LEAVING_FOR_MS = 2_400 as Ms;

/** How and when a server ends. */
export type ServerEnd = Readonly<{
  kind: "says_leaving" | "drops_entry" | "crashes";
  at: number;
}>;

/** A simulated server: its start, the phase of its heartbeats, and how it ends, if it does. */
export type SimulatedServer = Readonly<{
  startsAt: number;
  phase: number;
  end?: ServerEnd | undefined;
}>;

/** An outage of the store, which comes back from a copy. Times in ms. */
export type StoreOutage = Readonly<{ from: number; until: number; copyAge: number }>;

type Row = Readonly<{ state: "ready" | "leaving"; version: number }>;
type Change = Readonly<{ key: string; row: Row | undefined; version: number }>;
type Copy = Readonly<{ at: number; rows: ReadonlyMap<string, Row>; version: number }>;

const decode = (name: string, value: Buffer) =>
  Ok(makeEntry(name, { isLeaving: value.toString() === "leaving" }));

const toRow = (key: string, { state, version }: Row, era: number): StoredRow => ({
  key,
  value: Buffer.from(state),
  revision: makeRevision(era, version),
});

/**
 * Returns the state that a server's row should have at a point in time; undefined if there should
 * be none.
 */
export const getExpectedState = (
  { startsAt, end }: SimulatedServer,
  now: number,
): Row["state"] | undefined => {
  if (now < startsAt) return undefined;
  if (!end || now < end.at || end.kind === "crashes") return "ready";
  const isAnnouncing = end.kind === "says_leaving" && now < end.at + LEAVING_FOR_MS;
  return isAnnouncing ? "leaving" : undefined;
};

/** Whether a server still writes its entry. */
export const isWriting = ({ end }: SimulatedServer, now: number): boolean =>
  !end || end.kind !== "crashes" || now < end.at;

/** Simulates the servers and outages with one box. */
export const runRestores = (
  seed: number,
  servers: readonly SimulatedServer[],
  outages: readonly StoreOutage[],
) => {
  const clock = createVirtualClock();
  const names = servers.map((_, i) => `server-${i}`);
  let rows = new Map<string, Row>();
  let changes: Change[] = [];
  let version = 1;
  let era = 1;
  let isAway = false;
  const copies: Copy[] = [];
  const waiting = new Set<() => void>();
  const wroteAt = new Map<string, number>();
  /** When the store last accepted that a server leaves or is gone. */
  const leftAt = new Map<string, number>();

  const write = (key: string, state: Row["state"] | undefined) => {
    if (rows.get(key)?.state === state) return;
    version += 1;
    const row = state && { state, version };
    if (row) rows.set(key, row);
    else rows.delete(key);
    if (state === "ready") leftAt.delete(key);
    else leftAt.set(key, clock.now());
    changes.push({ key, row, version });
    copies.push({ at: clock.now(), rows: new Map(rows), version });
    for (const notify of [...waiting]) notify();
  };
  const writeEntry = (index: number) => {
    const server = servers[index]!;
    const key = names[index]!;
    if (!isAway && isWriting(server, clock.now())) {
      wroteAt.set(key, clock.now());
      write(key, getExpectedState(server, clock.now()));
    }
  };
  const writeEntryRepeatedly = (index: number) => {
    writeEntry(index);
    clock.setTimer(HEARTBEAT_MS, () => writeEntryRepeatedly(index));
  };
  const dropLapsed = () => {
    for (const key of rows.keys())
      if (!isAway && clock.now() - wroteAt.get(key)! > LAPSE_MS) write(key, undefined);
    clock.setTimer(100 as Ms, dropLapsed);
  };
  servers.forEach((server, index) => {
    clock.setTimer(server.phase as Ms, () => writeEntryRepeatedly(index));
    for (const at of [server.startsAt, server.end?.at])
      if (at !== undefined) clock.setTimer(at as Ms, () => writeEntry(index));
  });
  copies.push({ at: 0, rows: new Map(), version });
  dropLapsed();

  const loseStore = () => {
    isAway = true;
    for (const notify of [...waiting]) notify();
  };
  const recoverStore = ({ from, copyAge }: StoreOutage) => {
    const copy = copies.findLast(({ at }) => at <= Math.max(0, from - copyAge))!;
    rows = new Map(copy.rows);
    changes = [];
    version = copy.version;
    era += 1;
    isAway = false;
    // The store resets the time of every copied entry.
    for (const key of rows.keys()) wroteAt.set(key, clock.now());
    copies.push({ at: clock.now(), rows: new Map(rows), version });
  };
  for (const outage of outages) {
    clock.setTimer(outage.from as Ms, loseStore);
    clock.setTimer(outage.until as Ms, () => recoverStore(outage));
  }

  const DOWN = Err({ kind: "unreachable", detail: "away" } as const);
  const reader: StoreReader = {
    readTable: () => {
      if (isAway) return Promise.resolve(DOWN);
      const all = [...rows].map(([key, row]) => toRow(key, row, era));
      const revision = makeRevision(era, version);
      return Promise.resolve(Ok({ rows: all, revision, source: { kind: "store" } }));
    },
    awaitChanges: ({ since, wait }) =>
      new Promise((resolve) => {
        const answer = () => {
          waiting.delete(answer);
          timer.cancel();
          if (isAway) resolve(DOWN);
          else if (since.version > version) resolve(Err({ kind: "history_gone" }));
          else {
            const newChanges = changes.filter((one) => one.version > since.version);
            const rowChanges = newChanges.map(({ key, row }): RowChange =>
              row ? { kind: "put", row: toRow(key, row, era) } : { kind: "gone", key },
            );
            const revision = makeRevision(era, version);
            resolve(Ok({ changes: rowChanges, revision, source: { kind: "store" } }));
          }
        };
        const timer = clock.setTimer(wait, answer);
        const hasNewChanges = changes.some((one) => one.version > since.version);
        if (isAway || hasNewChanges || since.version > version) answer();
        else waiting.add(answer);
      }),
  };

  const directory = createServerDirectory({
    memory: 30_000 as Ms,
    onEvent: () => undefined,
  });
  const sink = createServerSink({
    clock,
    directory,
    decode,
    leavingWithin: 2_000 as Ms,
    onListRead: () => undefined,
    onEvent: () => undefined,
  });
  const guard = createRestoreGuard({
    clock,
    rules: createServerRestoreRules({ decode }),
    onRestored: () => undefined,
  });
  const follower = createTableFollower({
    table: TABLE,
    reader,
    clock,
    random: createSeededRandom(seed),
    wait: 10_000 as Ms,
    gather: 0 as Ms,
    patience: 1_000 as Ms,
    retryPause: { first: 100 as Ms, most: 500 as Ms },
    revisions: createRevisionWatermark(),
    sink: guard.observe(sink),
    onStaleRead: () => undefined,
    onStepFailed: ({ error }) => {
      throw error;
    },
  });

  return {
    clock,
    names,
    start: follower.start,
    stop: follower.stop,
    /** Lists the indices of the servers that the box would send to. */
    listReady: () =>
      directory.listReady(SERVICE).map(({ entry }) => names.indexOf(entry.name)),
    /**
     * Returns when the store last accepted that the server leaves or is gone; undefined while its
     * row says ready.
     */
    getLeftAt: (index: number) => leftAt.get(names[index]!),
  };
};
