/**
 * Guards against a box that ends, or answers nobody, because of what arrives at its listeners for readiness checks,
 * metrics and other boxes: requests sent ahead and unread, connections left open, frames without end.
 */
import { beforeEach, describe, expect, it } from "vitest";
import { READY_PATH } from "@stairgauge/platform";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import type { BoxPorts } from "./createLifecycle.js";
import {
  askInTries,
  checkReadyInTries,
  MACHINE,
  runCrowd,
  startSmallBox,
  type SmallBox,
  type Writing,
} from "./misbehavingClients.testkit.js";
import {
  END_STREAM,
  formatCallHead,
  formatFrame,
  formatMessage,
  PREFACE,
} from "./rawFrames.testkit.js";

/** Blocks that a client writes at most, and requests or frames in each. */
const MAX_WRITES = 400;
const ITEMS_A_WRITE = 200;

/** Pause between blocks that a box has to handle one by one. */
const WRITE_PAUSE_MS = 20;

/** More connections than the box has descriptors, and how fast they come again. */
const TOO_MANY_CLIENTS = MACHINE.descriptors + 120;
const SLOW_RECONNECT_MS = 1_000;

const formatGet = (path: string) => `GET ${path} HTTP/1.1\r\nHost: box\r\n\r\n`;

const writeNothing = function* (): Writing {};

const writeOnce = (block: string) =>
  function* (): Writing {
    yield block;
  };

/** Writes the same again and again behind the first block, as fast as the box takes it. */
const writeAhead = (item: string, first = "") =>
  function* (): Writing {
    yield first;
    for (let i = 0; i < MAX_WRITES; i += 1) yield item.repeat(ITEMS_A_WRITE);
  };

const QUESTION = { kind: "whole", table: "servers", revision: 0 } as const;

/** Writes frames of one stream after the other, without an end. */
const writeStreams = (format: (stream: number) => string) =>
  function* (): Writing {
    yield PREFACE;
    for (let stream = 1; stream < 2 * MAX_WRITES * ITEMS_A_WRITE;) {
      let block = "";
      for (let i = 0; i < ITEMS_A_WRITE; i += 1, stream += 2) block += format(stream);
      yield block;
      yield { pauseMs: WRITE_PAUSE_MS };
    }
  };

const TELL_RUNS = "/stairgauge.Peers/TellRuns";
const ASK_TABLE = "/stairgauge.Peers/AskTable";
const EXCHANGE_TABLES = "/stairgauge.Peers/ExchangeTables";

const formatQuestionCall = (stream: number) =>
  formatCallHead(ASK_TABLE, stream) + formatMessage(QUESTION, stream, END_STREAM);

/** Asks questions without an end on one stream whose answers can't be sent. */
const writeQuestions = function* (): Writing {
  yield PREFACE + formatCallHead(EXCHANGE_TABLES, 1);
  for (let id = 0; id < MAX_WRITES * ITEMS_A_WRITE;) {
    let block = "";
    for (let i = 0; i < ITEMS_A_WRITE; i += 1, id += 1)
      block += formatMessage({ id, question: QUESTION }, 1);
    yield block;
    yield { pauseMs: WRITE_PAUSE_MS };
  }
};

/** Clients of one kind at one of the listeners. */
type Kind = Readonly<{
  port: Exclude<keyof BoxPorts, "clients">;
  does: string;
  clients: number;
  write: () => Writing;
  reconnectMs?: number;
}>;

const makeKinds = (port: Kind["port"], path: string): readonly Kind[] => [
  {
    port,
    does: "send requests ahead and read nothing",
    clients: 100,
    write: writeAhead(formatGet(path)),
  },
  {
    port,
    does: "don't end a head",
    clients: 150,
    write: writeOnce(formatGet(path).slice(0, -2)),
  },
  {
    port,
    does: "send nothing, on more connections than there are descriptors",
    clients: TOO_MANY_CLIENTS,
    write: writeNothing,
    reconnectMs: SLOW_RECONNECT_MS,
  },
];

const KINDS: readonly Kind[] = [
  ...makeKinds("ready", READY_PATH),
  ...makeKinds("metrics", "/metrics"),
  ...makeKinds("peers", "/"),
  {
    port: "peers",
    does: "send no more than the preface, on more connections than there are descriptors",
    clients: TOO_MANY_CLIENTS,
    write: writeOnce(PREFACE),
    reconnectMs: SLOW_RECONNECT_MS,
  },
  {
    port: "peers",
    does: "send PING frames and read nothing",
    clients: 50,
    write: writeAhead(formatFrame("ping", { payload: "12345678" }), PREFACE),
  },
  {
    port: "peers",
    does: "send SETTINGS frames and read nothing",
    clients: 50,
    write: writeAhead(formatFrame("settings", {}), PREFACE),
  },
  {
    port: "peers",
    does: "open streams without an end",
    clients: 20,
    write: writeStreams((stream) => formatCallHead(TELL_RUNS, stream)),
  },
  {
    port: "peers",
    does: "open streams and reset them",
    clients: 20,
    write: writeStreams(
      (stream) =>
        formatCallHead(TELL_RUNS, stream) +
        formatFrame("reset", { stream, payload: "\0\0\0\x08" }),
    ),
  },
  {
    port: "peers",
    does: "ask for tables and read no answer",
    clients: 20,
    write: writeStreams(formatQuestionCall),
  },
  {
    port: "peers",
    does: "ask for tables on one stream and read no answer",
    clients: 20,
    write: writeQuestions,
  },
];

describe("a box on a small machine stays up and answers others while connections", () => {
  let box: SmallBox;

  beforeEach(async () => {
    box = await startSmallBox();
    expect((await askInTries(box, "before")).at(-1)).toBe(200);
    expect((await checkReadyInTries(box)).at(-1)).toBe(200);
  }, BUSY_MACHINE_TIMEOUT_MS);

  it.each(KINDS.map((kind) => [kind.port, kind.does, kind] as const))(
    "at the port for %s %s",
    async (_, __, { port, clients, write, reconnectMs }) => {
      const { use, ...seen } = await runCrowd(box, {
        port: box.ports[port],
        clients,
        write,
        ...(reconnectMs && { reconnectMs }),
      });
      expect({ ...seen, use }).toMatchObject({
        hasEnded: false,
        meanwhile: 200,
        readyMeanwhile: 200,
        afterwards: 200,
        readyAfterwards: 200,
      });
      expect(use.memoryMb).toBeLessThanOrEqual(MACHINE.memoryMb);
      expect(use.descriptors).toBeLessThanOrEqual(MACHINE.descriptors);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
