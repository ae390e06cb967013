/**
 * Random scripts for engines whose streams break and continue elsewhere, and a check of what
 * the client receives.
 */
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
  LENIENT_KEY_REMOVAL,
  waitUntilRead,
  type Answer,
} from "./box.testkit.js";

/** How the end of an answer is marked. */
export type Framing = "chunks" | "length" | "connection";

/** What an engine does with one attempt. */
export type AttemptPlan = Readonly<
  | {
      kind: "stream";
      framing: Framing;
      /** Part of the answer, including head and framing, that is sent, in thousandths. */
      part: number;
      /** How the connection ends if the answer is cut or has no framing. */
      end: "fin" | "reset";
      /** Sizes in bytes of the pieces in which the answer is written. */
      pieces: readonly number[];
      /** Bytes sent after a complete answer that belong to no answer. */
      extra: string;
      /** Cuts before the first event if the cut would fall within it. */
      omitsPartialFirst?: boolean;
    }
  | { kind: "refusal"; status: number; body: string; isNotRun: boolean }
  | { kind: "closed"; end: "fin" | "reset" }
  | { kind: "silent" }
>;

/** One request and what happens to its attempts, in order. */
export type Script = Readonly<{
  plans: readonly AttemptPlan[];
  events: number;
  form: number;
  /**
   * The last event that the client already has; undefined if it requests the stream from the
   * start.
   */
  after: number | undefined;
  mayResume: boolean;
}>;

/** Formats of an event. The attempt's number shows which attempt produced the bytes. */
const FORMS: readonly ((index: number, attempt: number) => string)[] = [
  (index, attempt) => `id: ${index}\ndata: run ${attempt} group ${index}\n\n`,
  (index, attempt) => `id: ${index}\r\ndata: run ${attempt} group ${index}\r\n\r\n`,
  (index, attempt) => `versions: 3\nid: ${index}\ndata: run ${attempt}\ndata: id: 99\n\n`,
  (index, attempt) => `data: run ${attempt}\r\nid:${index}\n: id: 98\r\n\n`,
];

/** Formats event `index` as attempt `attempt` sends it. */
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

/** Writes the text in pieces of the given sizes. */
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

/** Whether a cut falls where an answer without framing could have ended. */
const isAtEventBoundary = (
  answer: string,
  cut: number,
  events: readonly string[],
): boolean => {
  let at = answer.length - events.join("").length;
  if (cut === at) return true;
  return events.some((event) => {
    at += event.length;
    return cut === at;
  });
};

const findCut = (
  answer: string,
  { framing, part, omitsPartialFirst }: Extract<AttemptPlan, { kind: "stream" }>,
  events: readonly string[],
): number => {
  const cut = Math.floor((answer.length * part) / 1_000);
  const headEnd = answer.indexOf("\r\n\r\n") + 4;
  const firstEnd = headEnd + formatBody(framing, events[0] ?? "").length;
  return omitsPartialFirst && cut > headEnd && cut < firstEnd ? headEnd : cut;
};

/**
 * Sends an answer or a part of it. An answer without framing whose connection closes normally
 * is never cut between two events, since such a cut looks like its end.
 */
const serveStream = async (
  call: ScriptedCall,
  script: Script,
  {
    plan,
    attempt,
  }: Readonly<{ plan: Extract<AttemptPlan, { kind: "stream" }>; attempt: number }>,
) => {
  const { framing, end } = plan;
  const from = call.lastEventId === undefined ? 0 : Number(call.lastEventId) + 1;
  const events = Array.from({ length: Math.max(0, script.events - from) }, (_, at) =>
    formatEvent(script.form, from + at, attempt),
  );
  const answer = formatAnswer(framing, call.requestId, events.join(""));
  const isAll = plan.part >= 1_000;
  const cut = findCut(answer, plan, events);
  const isAmbiguous = framing === "connection" && end === "fin";
  const sent = isAll
    ? answer + plan.extra
    : answer.slice(
        0,
        isAmbiguous && isAtEventBoundary(answer, cut, events) ? cut - 1 : cut,
      );
  await writePieces(call, sent, plan.pieces);
  if (!isAll || plan.framing === "connection") endConnection(call, plan.end);
};

const serveRefusal = (
  { socket, requestId }: ScriptedCall,
  { status, body, isNotRun }: Extract<AttemptPlan, { kind: "refusal" }>,
) =>
  void socket.write(
    `HTTP/1.1 ${status} Refused\r\nRequest-Id: ${requestId}\r\n` +
      (isNotRun ? "Not-Executed: 1\r\n" : "") +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );

const serveCall = (call: ScriptedCall, script: Script, attempt: number) => {
  const plan = script.plans[attempt];
  if (!plan) {
    call.socket.resetAndDestroy();
    return;
  }
  if (plan.kind === "stream") void serveStream(call, script, { plan, attempt });
  else if (plan.kind === "refusal") serveRefusal(call, plan);
  else if (plan.kind === "closed") endConnection(call, plan.end);
};

const ENGINES = 24;
const MAX_CALLS = 100_000;
const MAX_SERVERS = 6;
/** Long enough that a busy machine ends no request that its engines would not end. */
const PATIENCE_MS = 1_500;

/** The client's answer, and the Last-Event-Id of each request that the box sent. */
export type Outcome = Readonly<{
  answer: Answer;
  asked: readonly (string | undefined)[];
}>;

/** Starts a box in front of scripted engines. The returned function runs one script. */
export const startScriptedBox = async () => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const scripts = new Map<string, Script>();
  const asked = new Map<string, (string | undefined)[]>();
  const answerCall = (call: ScriptedCall) => {
    const script = scripts.get(call.requestId);
    const previous = asked.get(call.requestId);
    if (!script || !previous) return;
    previous.push(call.lastEventId);
    serveCall(call, script, previous.length - 1);
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
    ...LENIENT_KEY_REMOVAL,
    retrySlack: MAX_CALLS,
  });
  site.setMaxAttempts(MAX_SERVERS);
  await waitUntilRead(lines, ENGINES);
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

/** Finds the attempt whose event `index` the text begins with; undefined if there is none. */
const findAttempt = (script: Script, index: number, text: string): number | undefined => {
  const attempts = script.plans.map((_, attempt) => attempt);
  return attempts.find((attempt) =>
    text.startsWith(formatEvent(script.form, index, attempt)),
  );
};

/**
 * Describes what is wrong with a stream as its client received it. Undefined if each event was
 * sent by an attempt, each number occurs once and in order, no event of an earlier attempt
 * follows one of a later attempt, and a normal end comes after the last event.
 */
export const describeFault = (
  script: Script,
  { body, isWhole }: Pick<Answer, "body" | "isWhole">,
): string | undefined => {
  let index = (script.after ?? -1) + 1;
  let remaining = body;
  let lastAttempt = 0;
  while (remaining !== "") {
    const found = findAttempt(script, index, remaining);
    if (found === undefined)
      return `event ${index} was sent by no attempt: ${JSON.stringify(remaining)}`;
    if (found < lastAttempt)
      return `event ${index} of attempt ${found} after one of attempt ${lastAttempt}`;
    lastAttempt = found;
    remaining = remaining.slice(formatEvent(script.form, index, found).length);
    index += 1;
  }
  return isWhole && index < script.events
    ? `complete after ${index} of ${script.events} events`
    : undefined;
};

const pieces = fc.array(fc.integer({ min: 1, max: 90 }), { maxLength: 6 });
const end = fc.constantFrom("fin" as const, "reset" as const);
const EXTRA = ["", "", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nid", "id: 7\n\n"];

const stream: fc.Arbitrary<AttemptPlan> = fc
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
  // Extra bytes after an answer that ends with its connection would be part of it.
  .map((plan) => (plan.framing === "connection" ? { ...plan, extra: "" } : plan));

const refusal: fc.Arbitrary<AttemptPlan> = fc.record({
  kind: fc.constant("refusal" as const),
  status: fc.constantFrom(500, 503, 408, 429, 200, 404),
  body: fc.constantFrom("", "out of order", "{}\n\n", "id: 1\ndata: run 0\n\n"),
  isNotRun: fc.boolean(),
});

const plan: fc.Arbitrary<AttemptPlan> = fc.oneof(
  { arbitrary: stream, weight: 20 },
  { arbitrary: refusal, weight: 3 },
  { arbitrary: fc.record({ kind: fc.constant("closed" as const), end }), weight: 1 },
  { arbitrary: fc.constant({ kind: "silent" } as const), weight: 1 },
);

/** Generates scripts. */
export const anyScript: fc.Arbitrary<Script> = fc.record({
  plans: fc.array(plan, { minLength: 1, maxLength: MAX_SERVERS }),
  events: fc.integer({ min: 1, max: 7 }),
  form: fc.nat(FORMS.length - 1),
  after: fc.option(fc.nat(3), { nil: undefined }),
  mayResume: fc.integer({ min: 0, max: 5 }).map((drawn) => drawn > 0),
});

/**
 * Removes what is hardest to join correctly: events that are cut in answers without framing or
 * at the start, and bodies of refusals.
 */
export const dropPartialEvents = (script: Script): Script => ({
  ...script,
  plans: script.plans.map((one) => {
    if (one.kind === "refusal") return { ...one, body: "" };
    if (one.kind !== "stream") return one;
    const isAmbiguous = one.framing === "connection" && one.part < 1_000;
    return { ...one, omitsPartialFirst: true, end: isAmbiguous ? "reset" : one.end };
  }),
});
