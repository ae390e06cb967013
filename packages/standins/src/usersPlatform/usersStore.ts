/** A stand-in of the users' store: rows with one counter of versions, a feed, and the faults that it may have. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { HEADER, STORE_PATH } from "@stairgauge/platform";
import { listenOnLoopback, readWhole, sendJson, type Listening } from "./loopback.js";

/** What the store does with calls. */
export type StoreMode = "up" | "busy" | "many" | "silent" | "reset";

type StoredRow = Readonly<{ key: string; value: string; ver: number; gone: boolean }>;

/** The store as it was at one moment. */
export type StoreCopy = Readonly<{
  tables: ReadonlyMap<string, ReadonlyMap<string, StoredRow>>;
  revision: number;
}>;

/** The store and its operator's hand. */
export type UsersStore = Listening &
  Readonly<{
    put: (table: string, key: string, value: unknown) => void;
    /** Puts a row again with other fields. */
    change: (
      table: string,
      key: string,
      fields: Readonly<Record<string, unknown>>,
    ) => void;
    drop: (table: string, key: string) => void;
    setMode: (mode: StoreMode) => void;
    /** Forgets the history and cuts all calls that wait. */
    compact: () => void;
    /** The next writes are done, and their answers lost. */
    loseAnswers: (count: number) => void;
    /** The next whole reads give the state before the last change. */
    giveStaleReads: (count: number) => void;
    listKeys: (table: string) => readonly string[];
    countCalls: () => number;
    copy: () => StoreCopy;
    /** Comes back from a copy: cuts all connections, forgets what came since, and gives its versions out again. */
    restore: (copy: StoreCopy) => void;
    /** Gives out so many versions for rows that nobody reads. */
    spendVersions: (count: number) => void;
    /** From now on answers tell this era; undefined: none. */
    setEra: (era: string | undefined) => void;
  }>;

type Waiting = Readonly<{ table: string; since: number; answer: () => void }>;

const encodeValue = (value: unknown) =>
  Buffer.from(JSON.stringify(value)).toString("base64");

/** Starts a store on loopback. */
export const startUsersStore = async (): Promise<UsersStore> => {
  const tables = new Map<string, Map<string, StoredRow>>();
  const waiting = new Set<Waiting>();
  let revision = 1;
  let historyFrom = 0;
  let mode: StoreMode = "up";
  let answersToLose = 0;
  let staleReads = 0;
  let previous: readonly StoredRow[] = [];
  let calls = 0;
  let restores = 0;
  let toldEra: string | undefined = String(restores);

  const getTable = (name: string) => {
    const table = tables.get(name) ?? new Map<string, StoredRow>();
    tables.set(name, table);
    return table;
  };
  const listRows = (name: string) => [...getTable(name).values()];
  const apply = (table: string, row: Omit<StoredRow, "ver">) => {
    previous = listRows(table);
    revision += 1;
    getTable(table).set(row.key, { ...row, ver: revision });
    for (const wait of waiting) if (wait.table === table) wait.answer();
  };
  const put = (table: string, key: string, value: string) =>
    apply(table, { key, value, gone: false });
  const drop = (table: string, key: string) =>
    apply(table, { key, value: "", gone: true });

  const toWire = (table: string, { key, value, ver, gone }: StoredRow) => ({
    table,
    part: "",
    key,
    ver,
    ...(gone ? { gone: true } : { value }),
  });
  const send = (response: ServerResponse, rows: readonly unknown[], ver = revision) =>
    sendJson(response, 200, {
      rows,
      more: false,
      ver,
      now_ms: Math.round(performance.now()),
    });

  const readTable = (response: ServerResponse, table: string) => {
    const isStale = staleReads > 0;
    if (isStale) staleReads -= 1;
    const rows = (isStale ? previous : listRows(table)).filter(({ gone }) => !gone);
    const wired = rows.map((row) => toWire(table, row));
    send(response, wired, isStale ? revision - 1 : revision);
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
      waiting.delete(wait);
      if (since < historyFrom) sendJson(response, 410, {});
      else
        send(
          response,
          listChanges().map((row) => toWire(table, row)),
        );
    };
    const wait: Waiting = { table, since, answer: finish };
    const timer = setTimeout(finish, Number(query.get("waitMs") ?? 0));
    response.once("close", () => {
      clearTimeout(timer);
      waiting.delete(wait);
    });
    if (listChanges().length > 0) finish();
    else waiting.add(wait);
  };

  const write = async (incoming: IncomingMessage, response: ServerResponse) => {
    const body = JSON.parse((await readWhole(incoming)).toString("utf8")) as {
      put: { table: string; key: string; value: string }[];
      delete: { table: string; key: string }[];
    };
    for (const row of body.put) put(row.table, row.key, row.value);
    for (const row of body.delete) drop(row.table, row.key);
    if (answersToLose > 0) {
      answersToLose -= 1;
      return;
    }
    sendJson(response, 200, { ver: revision, now_ms: 0 });
  };

  const handle = (incoming: IncomingMessage, response: ServerResponse) => {
    calls += 1;
    if (toldEra !== undefined) response.setHeader(HEADER.storeEra, toldEra);
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
    if (url.pathname === STORE_PATH.rows)
      readTable(response, url.searchParams.get("table") ?? "");
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
      const before = JSON.parse(Buffer.from(value, "base64").toString()) as object;
      put(table, key, encodeValue({ ...before, ...fields }));
    },
    drop,
    setMode: (next) => {
      mode = next;
    },
    compact: () => {
      historyFrom = revision + 1;
      revision += 1;
      for (const wait of [...waiting]) wait.answer();
    },
    loseAnswers: (count) => {
      answersToLose = count;
    },
    giveStaleReads: (count) => {
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
      toldEra = String(restores);
      waiting.clear();
      server.closeAllConnections();
    },
    spendVersions: (count) => {
      revision += count;
    },
    setEra: (era) => {
      toldEra = era;
    },
  };
};
