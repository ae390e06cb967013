/** Table questions over one stream: which answer belongs to which question, and what ends a question. */
import { getEventListeners } from "node:events";
import {
  Client,
  credentials,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type sendUnaryData,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, createVirtualClock, type Ms } from "@stairgauge/common";
import { INITIAL_REVISION, makeRevision } from "@stairgauge/storefeed";
import { createTableStreamHandler } from "./answerTableStream.js";
import { createPeerService } from "./service.js";
import { createTableStream } from "./tableStream.js";
import {
  decodeTableCall,
  decodeTableReply,
  encodeTableCall,
  encodeTableReply,
  type TableCall,
  type TableReply,
} from "./tableStreamCodec.js";
import type { TableAnswer, TableQuestion } from "./types.js";

const service = createPeerService(() => undefined);
const { signal } = new AbortController();
const REVISION = makeRevision(1, 5);

const toChanges = (table: string): TableQuestion => ({
  kind: "changes",
  table,
  since: REVISION,
  wait: 400 as Ms,
});

const toAnswer = (age: number): TableAnswer => ({
  kind: "changes",
  changes: [],
  revision: REVISION,
  age: age as Ms,
  silence: 1 as Ms,
});

type Asked = Readonly<{
  question: TableQuestion;
  by: "stream" | "unary";
  signal: AbortSignal;
  answer: (answer: TableAnswer) => void;
}>;

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const close of cleanups.splice(0)) close();
});

/** Waits for the condition; the test's own time limit ends it. */
const waitFor = async (isMet: () => boolean) => {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 2));
};

type Call = ServerUnaryCall<TableQuestion, TableAnswer>;

/** A box whose answers the test gives; without the stream it is one of an earlier release. */
const openBox = async ({ hasStream = true, clock = createSystemClock() } = {}) => {
  const asked: Asked[] = [];
  let streams = 0;
  const server = new Server();
  const waitForAnswer =
    (by: Asked["by"]) => (question: TableQuestion, aborted: AbortSignal) =>
      new Promise<TableAnswer>((answer) =>
        asked.push({ question, by, signal: aborted, answer }),
      );
  const handleStream = createTableStreamHandler(waitForAnswer("stream"), () => true);
  const unary = {
    askTable: (call: Call, send: sendUnaryData<TableAnswer>) =>
      void waitForAnswer("unary")(call.request, signal).then((answer) =>
        send(null, answer),
      ),
  };
  const { askTable, exchangeTables } = service;
  if (hasStream)
    server.addService(
      { askTable, exchangeTables },
      {
        ...unary,
        exchangeTables: (stream: ServerDuplexStream<TableCall, TableReply>) => {
          streams += 1;
          handleStream(stream);
        },
      },
    );
  else server.addService({ askTable }, unary);
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync("127.0.0.1:0", ServerCredentials.createInsecure(), (error, bound) =>
      error ? reject(error) : resolve(bound),
    ),
  );
  const client = new Client(`127.0.0.1:${port}`, credentials.createInsecure());
  const tables = createTableStream({ clock, client, service });
  cleanups.push(() => {
    tables.close();
    client.close();
    server.forceShutdown();
  });
  return { asked, tables, client, server, countStreams: () => streams };
};

describe("table questions over one stream", () => {
  it("gives each question its own answer, in whatever order they come", async () => {
    const { asked, tables, countStreams } = await openBox();
    const first = tables.ask(toChanges("a"), signal);
    const second = tables.ask(toChanges("b"), signal);
    await waitFor(() => asked.length === 2);
    asked[1]!.answer(toAnswer(20));
    expect((await second).val).toEqual(toAnswer(20));
    asked[0]!.answer(toAnswer(10));
    expect((await first).val).toEqual(toAnswer(10));
    expect(asked.map(({ by, question }) => `${by} ${question.table}`)).toEqual([
      "stream a",
      "stream b",
    ]);
    expect(countStreams()).toBe(1);
  });

  it("asks for whole tables by calls of their own, which do not delay other answers", async () => {
    const { asked, tables } = await openBox();
    const question = { kind: "whole", table: "a", atLeast: INITIAL_REVISION } as const;
    const answered = tables.ask(question, signal);
    await waitFor(() => asked.length === 1);
    expect(asked[0]!.by).toBe("unary");
    asked[0]!.answer({ kind: "not_known" });
    expect((await answered).val).toEqual({ kind: "not_known" });
  });

  it("ends a cancelled question at both boxes, and no other", async () => {
    const { asked, tables } = await openBox();
    const cancellation = new AbortController();
    const cancelled = tables.ask(toChanges("a"), cancellation.signal);
    const other = tables.ask(toChanges("b"), signal);
    await waitFor(() => asked.length === 2);
    cancellation.abort();
    expect((await cancelled).val).toEqual({ kind: "failed", detail: "cancelled" });
    await waitFor(() => asked[0]!.signal.aborted);
    asked[0]!.answer(toAnswer(1));
    asked[1]!.answer(toAnswer(2));
    expect((await other).val).toEqual(toAnswer(2));
  });

  it("fails all open questions at once when the stream breaks, and later ones while the box is gone", async () => {
    const { asked, tables, server } = await openBox();
    const open = [tables.ask(toChanges("a"), signal), tables.ask(toChanges("b"), signal)];
    await waitFor(() => asked.length === 2);
    server.forceShutdown();
    for (const answered of open)
      expect((await answered).val).toMatchObject({ kind: "failed" });
    await waitFor(() => asked.every((one) => one.signal.aborted));
    expect((await tables.ask(toChanges("a"), signal)).val).toMatchObject({
      kind: "failed",
    });
  });

  it("answers an open question after the link was closed, as a unary call does", async () => {
    const { asked, tables, client } = await openBox();
    const answered = tables.ask(toChanges("a"), signal);
    await waitFor(() => asked.length === 1);
    tables.close();
    client.close();
    asked[0]!.answer(toAnswer(3));
    expect((await answered).val).toEqual(toAnswer(3));
  });

  it("refuses more than 64 open questions without ending the others", async () => {
    const { asked, tables } = await openBox();
    const open = Array.from({ length: 65 }, () =>
      tables.ask(toChanges("a"), new AbortController().signal),
    );
    expect((await open.at(-1)!).val).toEqual({
      kind: "failed",
      detail: "too many open questions",
    });
    expect(asked).toHaveLength(64);
    asked[0]!.answer(toAnswer(4));
    expect((await open[0]!).val).toEqual(toAnswer(4));
  });
});

/** Guards against a question that throws and leaves its entry and its listener behind, since its link was closed this moment. */
describe("a table question on a closed link", () => {
  it("is a failed one, and keeps nothing", async () => {
    const client = new Client("127.0.0.1:9", credentials.createInsecure());
    const tables = createTableStream({ clock: createVirtualClock(), client, service });
    client.close();
    const asking = new AbortController();
    const answered = await tables.ask(toChanges("a"), asking.signal);
    expect(answered.val).toMatchObject({ kind: "failed" });
    expect(getEventListeners(asking.signal, "abort")).toEqual([]);
  });
});

describe("a box of an earlier release", () => {
  it("is asked by unary calls, and for the stream again after 30 s", async () => {
    const clock = createVirtualClock();
    const { asked, tables, server } = await openBox({ hasStream: false, clock });
    const askOnce = async () => {
      const answered = tables.ask(toChanges("a"), signal);
      await waitFor(() => asked.length === 1);
      const { by, answer } = asked.shift()!;
      answer(toAnswer(7));
      expect((await answered).val).toEqual(toAnswer(7));
      return by;
    };
    expect(await askOnce()).toBe("unary");
    const handle = createTableStreamHandler(
      (question, aborted) =>
        new Promise((answer) =>
          asked.push({ question, by: "stream", signal: aborted, answer }),
        ),
      () => true,
    );
    const { exchangeTables } = service;
    server.addService({ exchangeTables }, { exchangeTables: handle });
    expect(await askOnce()).toBe("unary");
    clock.advance(30_000 as Ms);
    expect(await askOnce()).toBe("stream");
  });

  it("cancels the unary call that replaced a question on the stream", async () => {
    const { asked, tables } = await openBox({ hasStream: false });
    const cancellation = new AbortController();
    const answered = tables.ask(toChanges("a"), cancellation.signal);
    await waitFor(() => asked.length === 1);
    cancellation.abort();
    expect((await answered).val).toMatchObject({ kind: "failed" });
  });
});

describe("tableStreamCodec", () => {
  it("decodes what it encodes", () => {
    const calls: readonly TableCall[] = [
      { kind: "ask", id: 1, question: toChanges("a") },
      { kind: "cancel", id: 2 },
      { kind: "unknown", id: 3 },
    ];
    for (const call of calls)
      expect(decodeTableCall(encodeTableCall(call))).toEqual(call);
    const replies: readonly TableReply[] = [
      { kind: "answered", id: 1, answer: toAnswer(9) },
      { kind: "answered", id: 2, answer: { kind: "history_gone" } },
      { kind: "failed", id: 3, detail: "d" },
    ];
    for (const reply of replies)
      expect(decodeTableReply(encodeTableReply(reply))).toEqual(reply);
  });

  it("takes a question or answer of an unknown kind as that of its number only", () => {
    const toBytes = (value: unknown) => Buffer.from(JSON.stringify(value));
    const question = { kind: "later", table: "a" };
    expect(decodeTableCall(toBytes({ id: 1, question }))).toEqual({
      kind: "unknown",
      id: 1,
    });
    expect(decodeTableReply(toBytes({ id: 1, answer: { kind: "later" } }))).toEqual({
      kind: "failed",
      id: 1,
      detail: "unreadable answer",
    });
    expect(() => decodeTableCall(toBytes({ question }))).toThrow();
    expect(() => decodeTableReply(toBytes({}))).toThrow();
  });
});
