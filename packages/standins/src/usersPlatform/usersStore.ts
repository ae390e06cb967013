/** Stand-in store: tables of rows with one revision counter, a change feed, and faults that a test can set. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { HEADER, STORE_PATH } from "@stairgauge/platform";
import { listenOnLoopback, readWhole, sendJson, type Listening } from "./loopback.js";

/** How the store answers calls: normally, with 503 (busy), with 429 (many), never, or with a connection reset. */
export type StoreMode = "up" | "busy" | "many" | "silent" | "reset";

/** A row, or the trace of a deleted one (`gone`); `ver` is the revision of its last change. */
type StoredRow = Readonly<{ key: string; value: string; ver: number; gone: boolean }>;

/** The rows of one table at a revision of the store. */
type TableState = Readonly<{ rows: readonly StoredRow[]; ver: number }>;

/** A backup of the store. */
export type StoreCopy = Readonly<{
  tables: ReadonlyMap<string, ReadonlyMap<string, StoredRow>>;
  revision: number;
}>;

/** Returns the fields to change in the value of a row that a box writes. */
export type RowChange = (
  key: string,
  value: Readonly<Record<string, unknown>>,
) => Readonly<Record<string, unknown>> | undefined;

/** Returns what goes out in place of a row, as any JSON value; undefined sends the row as it is. */
export type SentRowChange = (
  row: Readonly<{ table: string; key: string; ver: number; gone?: boolean }>,
) => unknown;

/** A running store, with what a test can change. */
export type UsersStore = Listening &
  Readonly<{
    put: (table: string, key: string, value: unknown) => void;
    /** Rewrites an existing row with these fields changed. */
    change: (
      table: string,
      key: string,
      fields: Readonly<Record<string, unknown>>,
    ) => void;
    drop: (table: string, key: string) => void;
    setMode: (mode: StoreMode) => void;
    /** Discards the change history; pending feed calls and calls for older revisions are answered with 410. */
    compact: () => void;
    /** Carries out the next `count` writes without ever answering them. */
    loseAnswers: (count: number) => void;
    /** Changes fields of the rows that boxes write from now on. */
    changeWrittenRows: (change: RowChange) => void;
    /** Replaces rows of all answers as they go out; undefined sends them unchanged again. */
    replaceSentRows: (replaceRow: SentRowChange | undefined) => void;
    /** Answers the next `count` reads of a whole table with the state before that table's last change. */
    serveStaleReads: (count: number) => void;
    /** Keys of the rows that are not deleted. */
    listKeys: (table: string) => readonly string[];
    /** Number of calls received. */
    countCalls: () => number;
    copy: () => StoreCopy;
    /** Restores the store from a backup: closes all connections, discards later changes, assigns their revisions again and starts a new era. */
    restore: (copy: StoreCopy) => void;
    /** Advances the revision by `count` without a change, as writes to other tables would. */
    advanceRevision: (count: number) => void;
    /** Sets the era in the header of all answers; undefined sends no header. */
    setEra: (era: string | undefined) => void;
  }>;

/** A feed call that waits for changes later than revision `since`. */
type PendingFeedCall = Readonly<{ table: string; since: number; answer: () => void }>;

/** Most rows of one answer. */
const MAX_PAGE_ROWS = 500;

const encodeValue = (value: unknown) =>
  Buffer.from(JSON.stringify(value)).toString("base64");
const decodeValue = (value: string) =>
  JSON.parse(Buffer.from(value, "base64").toString()) as Record<string, unknown>;

/** Starts a store on loopback. */
export const startUsersStore = async (): Promise<UsersStore> => {
  const tables = new Map<string, Map<string, StoredRow>>();
  const pendingCalls = new Set<PendingFeedCall>();
  let revision = 1;
  let historyFrom = 0;
  let mode: StoreMode = "up";
  let answersToLose = 0;
  let changeRow: RowChange | undefined;
  let replaceSentRow: SentRowChange | undefined;
  let staleReads = 0;
  /** Rows of each table before its last change, and the revision until then. */
  const previous = new Map<string, TableState>();
  let calls = 0;
  let restores = 0;
  let announcedEra: string | undefined = String(restores);

  const getTable = (name: string) => {
    const table = tables.get(name) ?? new Map<string, StoredRow>();
    tables.set(name, table);
    return table;
  };
  const listRows = (name: string) => [...getTable(name).values()];
  const apply = (table: string, row: Omit<StoredRow, "ver">) => {
    previous.set(table, { rows: listRows(table), ver: revision });
    revision += 1;
    getTable(table).set(row.key, { ...row, ver: revision });
    for (const call of pendingCalls) if (call.table === table) call.answer();
  };
  const put = (table: string, key: string, value: string) =>
    apply(table, { key, value, gone: false });
  const drop = (table: string, key: string) =>
    apply(table, { key, value: "", gone: true });

  const toWire = (table: string, { key, value, ver, gone }: StoredRow): unknown => {
    const row = { table, part: "", key, ver, ...(gone ? { gone: true } : { value }) };
    const replaced = replaceSentRow?.(row);
    return replaced === undefined ? row : replaced;
  };
  const send = (
    response: ServerResponse,
    rows: readonly unknown[],
    { ver = revision, more = false } = {},
  ) =>
    sendJson(response, 200, {
      rows,
      more,
      ver,
      now_ms: Math.round(performance.now()),
    });

  const readTable = (response: ServerResponse, query: URLSearchParams) => {
    const table = query.get("table") ?? "";
    const from = query.get("from") ?? "";
    const limit = Number(query.get("limit") ?? MAX_PAGE_ROWS);
    const isStale = staleReads > 0;
    if (isStale) staleReads -= 1;
    const current = { rows: listRows(table), ver: revision };
    const { rows, ver } = (isStale && previous.get(table)) || current;
    const present = rows
      .filter(({ key, gone }) => !gone && key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = present.slice(0, Math.min(limit, MAX_PAGE_ROWS));
    send(
      response,
      page.map((row) => toWire(table, row)),
      { ver, more: page.length < present.length },
    );
  };

  const awaitChanges = (response: ServerResponse, query: URLSearchParams) => {
    const table = query.get("table") ?? "";
    const since = Number(query.get("sinceRev"));
    if (since < historyFrom || since > revision) {
      sendJson(response, 410, {});
      return;
    }
    const listChanges = () =>
      listRows(table)
        .filter(({ ver }) => ver > since)
        .sort((a, b) => a.ver - b.ver);
    const finish = () => {
      clearTimeout(timer);
      pendingCalls.delete(call);
      if (since < historyFrom) sendJson(response, 410, {});
      else
        send(
          response,
          listChanges().map((row) => toWire(table, row)),
        );
    };
    const call: PendingFeedCall = { table, since, answer: finish };
    const timer = setTimeout(finish, Number(query.get("waitMs") ?? 0));
    response.once("close", () => {
      clearTimeout(timer);
      pendingCalls.delete(call);
    });
    if (listChanges().length > 0) finish();
    else pendingCalls.add(call);
  };

  const changeValue = (key: string, value: string) => {
    if (!changeRow) return value;
    const fields = decodeValue(value);
    return encodeValue({ ...fields, ...changeRow(key, fields) });
  };

  const write = async (incoming: IncomingMessage, response: ServerResponse) => {
    const body = JSON.parse((await readWhole(incoming)).toString("utf8")) as {
      put: { table: string; key: string; value: string }[];
      delete: { table: string; key: string }[];
    };
    for (const { table, key, value } of body.put)
      put(table, key, changeValue(key, value));
    for (const row of body.delete) drop(row.table, row.key);
    if (answersToLose > 0) {
      answersToLose -= 1;
      return;
    }
    sendJson(response, 200, { ver: revision, now_ms: 0 });
  };

  const handle = (incoming: IncomingMessage, response: ServerResponse) => {
    calls += 1;
    if (announcedEra !== undefined) response.setHeader(HEADER.storeEra, announcedEra);
    if (mode === "silent") return;
    if (mode === "reset") {
      incoming.socket.resetAndDestroy();
      return;
    }
    if (mode !== "up") {
      sendJson(response, mode === "busy" ? 503 : 429, {});
      return;
    }
    const url = new URL(incoming.url ?? "/", "http://store");
    if (url.pathname === STORE_PATH.rows) readTable(response, url.searchParams);
    else if (url.pathname === STORE_PATH.feed) awaitChanges(response, url.searchParams);
    else if (url.pathname === STORE_PATH.write) void write(incoming, response);
    else sendJson(response, 404, {});
  };

  const server = createServer(handle);
  const listening = await listenOnLoopback(server);
  return {
    ...listening,
    put: (table, key, value) => put(table, key, encodeValue(value)),
    change: (table, key, fields) => {
      const { value } = getTable(table).get(key)!;
      put(table, key, encodeValue({ ...decodeValue(value), ...fields }));
    },
    drop,
    setMode: (next) => {
      mode = next;
    },
    compact: () => {
      historyFrom = revision + 1;
      revision += 1;
      for (const call of [...pendingCalls]) call.answer();
    },
    loseAnswers: (count) => {
      answersToLose = count;
    },
    changeWrittenRows: (next) => {
      changeRow = next;
    },
    replaceSentRows: (replaceRow) => {
      replaceSentRow = replaceRow;
    },
    serveStaleReads: (count) => {
      staleReads = count;
    },
    listKeys: (table) =>
      listRows(table)
        .filter(({ gone }) => !gone)
        .map(({ key }) => key),
    countCalls: () => calls,
    copy: () => ({
      tables: new Map([...tables].map(([name, table]) => [name, new Map(table)])),
      revision,
    }),
    restore: (copy) => {
      tables.clear();
      for (const [name, table] of copy.tables) tables.set(name, new Map(table));
      revision = copy.revision;
      historyFrom = 0;
      restores += 1;
      announcedEra = String(restores);
      pendingCalls.clear();
      server.closeAllConnections();
    },
    advanceRevision: (count) => {
      revision += count;
    },
    setEra: (era) => {
      announcedEra = era;
    },
  };
};
