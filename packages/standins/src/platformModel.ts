/** The stand-in platform: a table with compare-and-set, an object store and a box list. */
import type { ListedServer, Row, RowKey, RowWrite } from "@stairgauge/stores";

/** How the stand-in platform behaves. */
export type PlatformMode = Readonly<{
  /** Refuses everything while down. */
  isDown: boolean;
  /** Delay of every answer, milliseconds. */
  delayMs: number;
  /** Writes whose effect stands while their answer is lost. */
  answersToLose: number;
  /** Writes a second beyond which writes wait; 0 means no limit. */
  writesPerSecond: number;
}>;

/** Result of one write. */
export type ModelWriteResult = Readonly<
  { kind: "written"; row: Row } | { kind: "conflict"; current: Row | undefined }
>;

/** A stand-in platform without network. */
export type PlatformModel = ReturnType<typeof createPlatformModel>;

const HEALTHY: PlatformMode = {
  isDown: false,
  delayMs: 0,
  answersToLose: 0,
  writesPerSecond: 0,
};

const toPlace = ({ table, key }: RowKey): string => `${table}\n${key}`;

/** Creates an empty platform. */
export const createPlatformModel = () => {
  const rows = new Map<string, Row>();
  const objects = new Map<string, string>();
  let listed: readonly ListedServer[] = [];
  let mode = HEALTHY;
  let revision = 0;
  let writes = 0;

  return {
    readRow: (at: RowKey): Row | undefined => rows.get(toPlace(at)),
    writeRow: ({ at, value, expected }: RowWrite): ModelWriteResult => {
      const current = rows.get(toPlace(at));
      const fits =
        expected.kind === "absent"
          ? current === undefined
          : current?.revision === expected.revision;
      if (!fits) return { kind: "conflict", current };
      revision += 1;
      writes += 1;
      const row = { value, revision };
      rows.set(toPlace(at), row);
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
    /** Takes one of the answers that are to be lost; false when none is. */
    takeLostAnswer: (): boolean => {
      if (mode.answersToLose <= 0) return false;
      mode = { ...mode, answersToLose: mode.answersToLose - 1 };
      return true;
    },
    getCounts: () => ({ rows: rows.size, objects: objects.size, writes }),
  };
};
