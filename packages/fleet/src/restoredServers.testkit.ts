/** A store that is played on virtual time, with servers that come, leave and crash, and one box that follows their entries. */
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

/** Servers write so often, and the store drops the entry of one that has not written for three such times. */
const HEARTBEAT_MS = 1_200 as Ms;
const LAPSE_MS = 3 * HEARTBEAT_MS;

/** From a server's word that it leaves to the end of its entry. */
const LEAVING_FOR_MS = 2_400 as Ms;

/** A server's end, and when. */
export type ServerEnd = Readonly<{
  kind: "says_leaving" | "drops_entry" | "crashes";
  at: number;
}>;

/** One server: when it starts, the phase of its heartbeats, and its end, if any. */
export type PlayedServer = Readonly<{
  startsAt: number;
  phase: number;
  end?: ServerEnd | undefined;
}>;

/** The store goes away, and comes back from a copy. Times in ms. */
export type PlayedDrill = Readonly<{ from: number; until: number; copyAge: number }>;

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

/** How a server's row should be at a moment; undefined: not there. */
export const judgeTrueState = (
  { startsAt, end }: PlayedServer,
  now: number,
): Row["state"] | undefined => {
  if (now < startsAt) return undefined;
  if (!end || now < end.at || end.kind === "crashes") return "ready";
  const isSaying = end.kind === "says_leaving" && now < end.at + LEAVING_FOR_MS;
  return isSaying ? "leaving" : undefined;
};

/** Whether a server still writes. */
export const isWriting = ({ end }: PlayedServer, now: number): boolean =>
  !end || end.kind !== "crashes" || now < end.at;

/** Plays servers and drills before one box. */
export const runRestores = (
  seed: number,
  servers: readonly PlayedServer[],
  drills: readonly PlayedDrill[],
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
  /** When the store last took that a server leaves or is gone. */
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
    for (const end of [...waiting]) end();
  };
  const beat = (index: number) => {
    const server = servers[index]!;
    const key = names[index]!;
    if (!isAway && isWriting(server, clock.now())) {
      wroteAt.set(key, clock.now());
      write(key, judgeTrueState(server, clock.now()));
    }
  };
  const beatOn = (index: number) => {
    beat(index);
    clock.setTimer(HEARTBEAT_MS, () => beatOn(index));
  };
  const dropLapsed = () => {
    for (const key of rows.keys())
      if (!isAway && clock.now() - wroteAt.get(key)! > LAPSE_MS) write(key, undefined);
    clock.setTimer(100 as Ms, dropLapsed);
  };
  servers.forEach((server, index) => {
    clock.setTimer(server.phase as Ms, () => beatOn(index));
    for (const at of [server.startsAt, server.end?.at])
      if (at !== undefined) clock.setTimer(at as Ms, () => beat(index));
  });
  copies.push({ at: 0, rows: new Map(), version });
  dropLapsed();

  const loseStore = () => {
    isAway = true;
    for (const end of [...waiting]) end();
  };
  const recoverStore = ({ from, copyAge }: PlayedDrill) => {
    const copy = copies.findLast(({ at }) => at <= Math.max(0, from - copyAge))!;
    rows = new Map(copy.rows);
    changes = [];
    version = copy.version;
    era += 1;
    isAway = false;
    // The store gives every copied entry its time anew.
    for (const key of rows.keys()) wroteAt.set(key, clock.now());
    copies.push({ at: clock.now(), rows: new Map(rows), version });
  };
  for (const drill of drills) {
    clock.setTimer(drill.from as Ms, loseStore);
    clock.setTimer(drill.until as Ms, () => recoverStore(drill));
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
            const news = changes.filter((one) => one.version > since.version);
            const told = news.map(({ key, row }): RowChange =>
              row ? { kind: "put", row: toRow(key, row, era) } : { kind: "gone", key },
            );
            const revision = makeRevision(era, version);
            resolve(Ok({ changes: told, revision, source: { kind: "store" } }));
          }
        };
        const timer = clock.setTimer(wait, answer);
        const hasNews = changes.some((one) => one.version > since.version);
        if (isAway || hasNews || since.version > version) answer();
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
  });

  return {
    clock,
    names,
    start: follower.start,
    stop: follower.stop,
    /** Indices of servers that the box would send to. */
    listReady: () =>
      directory.listReady(SERVICE).map(({ entry }) => names.indexOf(entry.name)),
    /** When the store last took that it leaves or is gone; undefined while its row says ready. */
    getLeftAt: (index: number) => leftAt.get(names[index]!),
  };
};
