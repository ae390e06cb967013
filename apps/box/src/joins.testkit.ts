/** Streams through a whole box whose engines answer by random scripts, and what may be said of what the client gets. */
import fc from "fast-check";
import { HEADER } from "@stairgauge/platform";
import {
  createScriptedEngines,
  startUsersSite,
  type ScriptedCall,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  makeGeneration,
  startBox,
  KEEPS_KEYS,
  waitUntilKnown,
  type Answer,
} from "./box.testkit.js";

/** How an answer says where it ends. */
export type Framing = "chunks" | "length" | "connection";

/** What an engine does with one attempt. */
export type Play = Readonly<
  | {
      kind: "stream";
      framing: Framing;
      /** How much of the answer goes out, head and framing too, in thousandths; all of it at 1,000. */
      part: number;
      /** How the connection ends if that isn't all of it, or if the connection's end is the answer's. */
      end: "fin" | "reset";
      /** Sizes of the pieces in which it is written. */
      pieces: readonly number[];
      /** Bytes that belong to no answer, behind a whole one. */
      extra: string;
      /** Sends nothing of the first event rather than a part of it. */
      sparesFirst?: boolean;
    }
  | { kind: "refusal"; status: number; body: string; isNotRun: boolean }
  | { kind: "closed"; end: "fin" | "reset" }
  | { kind: "silent" }
>;

/** One request and what its attempts meet in turn. */
export type Script = Readonly<{
  plays: readonly Play[];
  events: number;
  form: number;
  /** The event behind which the client itself asks. */
  after: number | undefined;
  mayResume: boolean;
}>;

/** Events as the forms write them; the number of the attempt tells whose bytes they are. */
const FORMS: readonly ((index: number, attempt: number) => string)[] = [
  (index, attempt) => `id: ${index}\ndata: run ${attempt} group ${index}\n\n`,
  (index, attempt) => `id: ${index}\r\ndata: run ${attempt} group ${index}\r\n\r\n`,
  (index, attempt) => `versions: 3\nid: ${index}\ndata: run ${attempt}\ndata: id: 99\n\n`,
  (index, attempt) => `data: run ${attempt}\r\nid:${index}\n: id: 98\r\n\n`,
];

/** The event with the number `index` as attempt `attempt` of a script sends it. */
export const formatEvent = (form: number, index: number, attempt: number): string =>
  FORMS[form % FORMS.length]!(index, attempt);

const formatChunks = (text: string): string =>
  (text.match(/[\s\S]{1,23}/g) ?? [])
    .map((piece) => `${piece.length.toString(16)}\r\n${piece}\r\n`)
    .join("") + "0\r\n\r\n";

const formatBody = (framing: Framing, text: string): string =>
  framing === "chunks" ? formatChunks(text) : text;

const FRAMING_HEADERS: Readonly<Record<Framing, (text: string) => string>> = {
  chunks: () => "Transfer-Encoding: chunked\r\n",
  length: (text) => `Content-Length: ${text.length}\r\n`,
  connection: () => "",
};

const formatAnswer = (framing: Framing, requestId: string, text: string): string =>
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
  `Request-Id: ${requestId}\r\nResponse-Signature: s\r\n` +
  `${FRAMING_HEADERS[framing](text)}\r\n${formatBody(framing, text)}`;

const PIECE_PAUSE_MS = 1;
const waitBriefly = () => new Promise((resolve) => setTimeout(resolve, PIECE_PAUSE_MS));

/** Writes the text in pieces, so that their borders fall anywhere. */
const writePieces = async (
  { socket }: ScriptedCall,
  text: string,
  pieces: readonly number[],
) => {
  let at = 0;
  for (const size of pieces) {
    if (at >= text.length || socket.destroyed) break;
    socket.write(text.slice(at, at + size));
    at += size;
    await waitBriefly();
  }
  if (!socket.destroyed) socket.write(text.slice(at));
  await waitBriefly();
};

const endConnection = ({ socket }: ScriptedCall, end: "fin" | "reset") => {
  if (end === "reset") socket.resetAndDestroy();
  else socket.end();
};

/** Whether a cut of an answer without framing falls where an answer could have ended. */
const isAtBorder = (answer: string, cut: number, events: readonly string[]): boolean => {
  let at = answer.length - events.join("").length;
  if (cut === at) return true;
  return events.some((event) => {
    at += event.length;
    return cut === at;
  });
};

const findCut = (
  answer: string,
  { framing, part, sparesFirst }: Extract<Play, { kind: "stream" }>,
  events: readonly string[],
): number => {
  const cut = Math.floor((answer.length * part) / 1_000);
  const headEnd = answer.indexOf("\r\n\r\n") + 4;
  const firstEnd = headEnd + formatBody(framing, events[0] ?? "").length;
  return sparesFirst && cut > headEnd && cut < firstEnd ? headEnd : cut;
};

/**
 * Sends an answer or a part of it. One without framing whose connection ends in order is never cut between two events:
 * nobody could tell that from its end.
 */
const serveStream = async (
  call: ScriptedCall,
  script: Script,
  {
    play,
    attempt,
  }: Readonly<{ play: Extract<Play, { kind: "stream" }>; attempt: number }>,
) => {
  const { framing, end } = play;
  const from = call.lastEventId === undefined ? 0 : Number(call.lastEventId) + 1;
  const events = Array.from({ length: Math.max(0, script.events - from) }, (_, at) =>
    formatEvent(script.form, from + at, attempt),
  );
  const answer = formatAnswer(framing, call.requestId, events.join(""));
  const isAll = play.part >= 1_000;
  const cut = findCut(answer, play, events);
  const isUnsure = framing === "connection" && end === "fin";
  const sent = isAll
    ? answer + play.extra
    : answer.slice(0, isUnsure && isAtBorder(answer, cut, events) ? cut - 1 : cut);
  await writePieces(call, sent, play.pieces);
  if (!isAll || play.framing === "connection") endConnection(call, play.end);
};

const serveRefusal = (
  { socket, requestId }: ScriptedCall,
  { status, body, isNotRun }: Extract<Play, { kind: "refusal" }>,
) =>
  void socket.write(
    `HTTP/1.1 ${status} Refused\r\nRequest-Id: ${requestId}\r\n` +
      (isNotRun ? "Not-Executed: 1\r\n" : "") +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );

const serveCall = (call: ScriptedCall, script: Script, attempt: number) => {
  const play = script.plays[attempt];
  if (!play) {
    call.socket.resetAndDestroy();
    return;
  }
  if (play.kind === "stream") void serveStream(call, script, { play, attempt });
  else if (play.kind === "refusal") serveRefusal(call, play);
  else if (play.kind === "closed") endConnection(call, play.end);
};

const ENGINES = 24;
const MAX_CALLS = 100_000;
const MAX_SERVERS = 6;
const PATIENCE_MS = 400;

/** What a client got, and what the box asked for. */
export type Outcome = Readonly<{
  answer: Answer;
  asked: readonly (string | undefined)[];
}>;

/** Starts a box before scripted engines; the function returned runs one script. */
export const startScriptedBox = async () => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const scripts = new Map<string, Script>();
  const asked = new Map<string, (string | undefined)[]>();
  const answerCall = (call: ScriptedCall) => {
    const script = scripts.get(call.requestId);
    const earlier = asked.get(call.requestId);
    if (!script || !earlier) return;
    earlier.push(call.lastEventId);
    serveCall(call, script, earlier.length - 1);
  };
  const engines = createScriptedEngines(
    Array.from({ length: MAX_CALLS }, () => answerCall),
  );
  for (let i = 0; i < ENGINES; i += 1) {
    const engine = await engines.start(`engine-${i}`);
    closers.push(engine.close);
    site.putEngine(engine.id, engine.address);
  }
  const { ports, lines } = await startBox(site.store.address, "box-1", {
    ...KEEPS_KEYS,
    retrySlack: MAX_CALLS,
  });
  site.allowServers(MAX_SERVERS);
  await waitUntilKnown(lines, ENGINES);
  let next = 0;
  const runScript = async (script: Script): Promise<Outcome> => {
    next += 1;
    const id = `r${next}`;
    scripts.set(id, script);
    asked.set(id, []);
    const { after } = script;
    const answer = await ask(ports, {
      path: script.mayResume ? "/verdict/" : "/draft/",
      id,
      headers: {
        ...makeGeneration(40, script.events),
        [HEADER.deadline]: String(PATIENCE_MS),
        ...(after === undefined ? {} : { [HEADER.lastEventId]: String(after) }),
      },
    });
    return { answer, asked: asked.get(id)! };
  };
  return { runScript };
};

/** The run that made the event with the number `index` which begins the text, if one did. */
const findMaker = (script: Script, index: number, text: string): number | undefined => {
  const makers = script.plays.map((_, attempt) => attempt);
  return makers.find((attempt) =>
    text.startsWith(formatEvent(script.form, index, attempt)),
  );
};

/**
 * Says what is wrong with a stream as its client got it; nothing if each event is one that a run made, each number is
 * there once and in order, a later run's events follow an earlier one's, and an end in order is behind the last.
 */
export const describeFault = (
  script: Script,
  { body, isWhole }: Pick<Answer, "body" | "isWhole">,
): string | undefined => {
  let index = (script.after ?? -1) + 1;
  let rest = body;
  let last = 0;
  while (rest !== "") {
    const maker = findMaker(script, index, rest);
    if (maker === undefined)
      return `no event ${index} of any run: ${JSON.stringify(rest)}`;
    if (maker < last) return `event ${index} of run ${maker} behind one of run ${last}`;
    last = maker;
    rest = rest.slice(formatEvent(script.form, index, maker).length);
    index += 1;
  }
  return isWhole && index < script.events
    ? `whole at event ${index} of ${script.events}`
    : undefined;
};

const pieces = fc.array(fc.integer({ min: 1, max: 90 }), { maxLength: 6 });
const end = fc.constantFrom("fin" as const, "reset" as const);
const EXTRA = ["", "", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nid", "id: 7\n\n"];

const stream: fc.Arbitrary<Play> = fc
  .record({
    kind: fc.constant("stream" as const),
    framing: fc.constantFrom<Framing>("chunks", "length", "connection"),
    part: fc.oneof(
      { arbitrary: fc.integer({ min: 0, max: 999 }), weight: 3 },
      { arbitrary: fc.constant(1_000), weight: 1 },
    ),
    end,
    pieces,
    extra: fc.constantFrom(...EXTRA),
  })
  // What stands behind an answer that ends with its connection belongs to it.
  .map((play) => (play.framing === "connection" ? { ...play, extra: "" } : play));

const refusal: fc.Arbitrary<Play> = fc.record({
  kind: fc.constant("refusal" as const),
  status: fc.constantFrom(500, 503, 408, 429, 200, 404),
  body: fc.constantFrom("", "out of order", "{}\n\n", "id: 1\ndata: run 0\n\n"),
  isNotRun: fc.boolean(),
});

const play: fc.Arbitrary<Play> = fc.oneof(
  { arbitrary: stream, weight: 20 },
  { arbitrary: refusal, weight: 3 },
  { arbitrary: fc.record({ kind: fc.constant("closed" as const), end }), weight: 1 },
  { arbitrary: fc.constant({ kind: "silent" } as const), weight: 1 },
);

/** Draws scripts. */
export const anyScript: fc.Arbitrary<Script> = fc.record({
  plays: fc.array(play, { minLength: 1, maxLength: MAX_SERVERS }),
  events: fc.integer({ min: 1, max: 7 }),
  form: fc.nat(FORMS.length - 1),
  after: fc.option(fc.nat(3), { nil: undefined }),
  mayResume: fc.integer({ min: 0, max: 5 }).map((drawn) => drawn > 0),
});

/** Without halves of events where one was known to be taken for whole, and without bodies of refusals. */
export const dropHalves = (script: Script): Script => ({
  ...script,
  plays: script.plays.map((one) => {
    if (one.kind === "refusal") return { ...one, body: "" };
    if (one.kind !== "stream") return one;
    const isUnsure = one.framing === "connection" && one.part < 1_000;
    return { ...one, sparesFirst: true, end: isUnsure ? "reset" : one.end };
  }),
});
