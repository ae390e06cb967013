import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, expect, it } from "vitest";
import {
  createSeededRandom,
  createVirtualClock,
  type DataHallName,
  type Ms,
} from "@stairgauge/common";
import type { ServiceName } from "@stairgauge/common";
import {
  createServerDirectory,
  type ServerEntry,
  type ServerId,
  type ServerName,
} from "@stairgauge/directory";
import { NO_SIGNALS, type SignalSource } from "@stairgauge/signals";
import { createBoxMetrics } from "@stairgauge/telemetry";
import { createSignals } from "./createSignals.js";
import { createLineLog } from "./lineLog.testkit.js";

const ENTRY: ServerEntry = {
  id: "page-1" as ServerId,
  name: "page-1" as ServerName,
  startedAt: undefined,
  service: "pages" as ServiceName,
  address: { host: "127.0.0.1", port: 1 },
  dataHall: "hall-a" as DataHallName,
  slots: 4,
  isLeaving: false,
  warmUpLeft: 0 as Ms,
};
const SOURCE: SignalSource = {
  kind: "request",
  request: "r",
  status: 200,
  sentAgo: 20 as Ms,
};

const setUp = () => {
  const lines: object[] = [];
  const write = (event: string, fields: object) => void lines.push({ event, ...fields });
  const directory = createServerDirectory({
    memory: 1_000 as Ms,
    onEvent: () => undefined,
  });
  directory.put(ENTRY, 0 as Ms);
  const clock = createVirtualClock();
  const signals = createSignals({
    clock,
    log: createLineLog(write),
    metrics: createBoxMetrics(),
    random: createSeededRandom(44),
    getParts: () => ({
      directory,
      capacity: { recordBrittle: () => undefined, recordNotBrittle: () => undefined },
    }),
    limits: { applySignal: () => undefined },
    periods: { onEntry: () => undefined },
    onClosingAnnounced: ({ entry }) => write("closing", { server: entry.id }),
  });
  const server = directory.find(ENTRY.id)!;
  return { clock, signals, directory, server, lines };
};

describe("createSignals", () => {
  it("marks a server that announces that it leaves, and logs once by which answer", () => {
    const { signals, directory, server, lines } = setUp();
    const received = {
      server,
      signals: { ...NO_SIGNALS, leaving: { kind: "leaving" } as const },
    };
    signals.handle({ ...received, source: SOURCE });
    signals.handle({ ...received, source: { kind: "health" } });
    expect(directory.find(ENTRY.id)?.leaving?.reason).toBe("answer_says_leaving");
    expect(lines).toEqual([
      { event: "server_says_leaving", server: ENTRY.id, source: SOURCE },
    ]);
  });

  it("ignores an unreadable signal, and logs each text once", () => {
    const { signals, directory, server, lines } = setUp();
    for (const text of ["0", "0", "true"]) {
      const leaving = { kind: "unreadable", text } as const;
      signals.handle({ server, signals: { ...NO_SIGNALS, leaving }, source: SOURCE });
    }
    expect(directory.find(ENTRY.id)?.leaving).toBeUndefined();
    expect(lines).toEqual(
      ["0", "true"].map((text) => ({
        event: "server_sign_unreadable",
        server: ENTRY.id,
        sign: "leaving",
        text,
      })),
    );
  });

  it("begins the backoff that a server asks for, and after it limits requests until one is answered", () => {
    const { clock, signals, server, lines } = setUp();
    const { id } = ENTRY;
    const asked = { kind: "asked", duration: 3_000 as Ms } as const;
    signals.handle({ server, signals: { ...NO_SIGNALS, rest: asked }, source: SOURCE });
    expect(signals.backoffs.mayReceive(id, 0)).toBe(false);
    clock.advance(4_000 as Ms);
    signals.handle({ server, signals: NO_SIGNALS, source: { kind: "health" } });
    expect(signals.backoffs.mayReceive(id, 1)).toBe(false);
    signals.handle({ server, signals: NO_SIGNALS, source: SOURCE });
    expect(signals.backoffs.mayReceive(id, 1)).toBe(true);
    const unreadable = { kind: "unreadable", text: "soon" } as const;
    signals.handle({
      server,
      signals: { ...NO_SIGNALS, rest: unreadable },
      source: SOURCE,
    });
    expect(lines).toMatchObject([
      { event: "server_rest_asked", server: id, duration: 3_000 },
      { event: "server_rest_over", server: id },
      { event: "server_sign_unreadable", server: id, sign: "rest", text: "soon" },
    ]);
  });

  it("handles signals in an engine's answers to calls, found by its address, but not the end of a connection", async () => {
    const { signals, directory, lines } = setUp();
    const engine = createServer((_, response) =>
      response
        .writeHead(200, { "Server-Leaving": "1", Connection: "close" })
        .end(JSON.stringify({ waiting: 0, running: 0, kvUsed: 0, kvTotal: 1 })),
    );
    await new Promise<void>((resolve) => engine.listen(0, ENTRY.address.host, resolve));
    const { port } = engine.address() as AddressInfo;
    const address = { ...ENTRY.address, port };
    const limit = 5_000 as Ms;
    await signals.actions.readReport(address, limit);
    expect(directory.find(ENTRY.id)?.leaving).toBeUndefined();
    directory.put({ ...ENTRY, address }, 1 as Ms);
    await signals.actions.readReport(address, limit);
    engine.close();
    expect(directory.find(ENTRY.id)?.leaving?.reason).toBe("answer_says_leaving");
    expect(lines).not.toContainEqual({ event: "closing", server: ENTRY.id });
  });
});
