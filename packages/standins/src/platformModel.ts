/** Model of the stand-in platform: a table with compare-and-set, an object store and a server list. */
import type { ListedServer, Row, RowKey, RowWrite } from "@stairgauge/stores";

/** How the stand-in platform behaves. */
export type PlatformMode = Readonly<{
  /** Whether every call is refused. */
  isDown: boolean;
  /** Delay of every answer, in milliseconds. */
  delayMs: number;
  /** Number of next writes that take effect but whose answers are lost. */
  answersToLose: number;
  /** Writes beyond this rate are delayed; 0 means no limit. */
  writesPerSecond: number;
}>;

/** Result of one write; a conflict holds the present row, undefined if there is none. */
export type ModelWriteResult = Readonly<
  { kind: "written"; row: Row } | { kind: "conflict"; current: Row | undefined }
>;

/** A stand-in platform in memory, without network. */
export type PlatformModel = ReturnType<typeof createPlatformModel>;

const HEALTHY: PlatformMode = {
  isDown: false,
  delayMs: 0,
  answersToLose: 0,
  writesPerSecond: 0,
};

const toMapKey = ({ table, key }: RowKey): string => `${table}\n${key}`;

/** Creates an empty platform. */
export const createPlatformModel = () => {
  const rows = new Map<string, Row>();
  const objects = new Map<string, string>();
  let listed: readonly ListedServer[] = [];
  let mode = HEALTHY;
  let revision = 0;
  let writes = 0;

  return {
    readRow: (at: RowKey): Row | undefined => rows.get(toMapKey(at)),
    writeRow: ({ at, value, expected }: RowWrite): ModelWriteResult => {
      const current = rows.get(toMapKey(at));
      const fits =
        expected.kind === "absent"
          ? current === undefined
          : current?.revision === expected.revision;
      if (!fits) return { kind: "conflict", current };
      revision += 1;
      writes += 1;
      const row = { value, revision };
      rows.set(toMapKey(at), row);
      return { kind: "written", row };
    },
    readObject: (name: string): string | undefined => objects.get(name),
    writeObject: (name: string, content: string) => {
      writes += 1;
      objects.set(name, content);
    },
    listServers: (): readonly ListedServer[] => listed,
    setServers: (servers: readonly ListedServer[]) => {
      listed = servers;
    },
    getMode: () => mode,
    setMode: (change: Partial<PlatformMode>) => {
      mode = { ...mode, ...change };
    },
    /** Returns whether the present answer is to be lost, and decrements `answersToLose` if so. */
    takeLostAnswer: (): boolean => {
      if (mode.answersToLose <= 0) return false;
      mode = { ...mode, answersToLose: mode.answersToLose - 1 };
      return true;
    },
    getCounts: () => ({ rows: rows.size, objects: objects.size, writes }),
  };
};
