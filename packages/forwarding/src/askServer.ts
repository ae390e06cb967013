/** Asks a server whether it is still there, by its health path: another process at its address says who it is. */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerEntry } from "@stairgauge/directory";
import type { ServerSignals } from "@stairgauge/signals";
import { openExchange } from "./openExchange.js";
import type { AnswerHead, HeadCodec } from "./types.js";

/** What was heard: an answer of the server itself, or whatever says less. */
export type ServerPresence = Readonly<
  | {
      kind: "present";
      /** Its start, where it says so. */
      startedAt: Ms | undefined;
      /** What it says of itself. */
      signs: ServerSignals;
    }
  | { kind: "absent"; cause: AbsenceCause; detail: string }
>;

/** Why a server is taken as absent: it has ended, as something at its address shows, or nothing was heard of it. */
export type AbsenceCause = "ended" | "not_heard";

/** Longest that an answer is waited for: a health path waits for a slot like a request, at most as long as the slowest ones take. */
const ANSWER_LIMIT_MS = 1_000 as Ms;

/** Bytes of an answer's body that are read; what a server says of itself comes first. */
const MAX_BODY_BYTES = 4_096;

/** Whom to ask, and how. */
export type ServerQuestion = Readonly<{
  clock: Clock;
  codec: Pick<HeadCodec, "encodeHealthCall" | "decodeAnswer" | "decodeHealthBody">;
  entry: Pick<ServerEntry, "name" | "address" | "startedAt">;
  healthPath: string;
  /** How long a connection may take to come up. */
  connectLimit: Ms;
}>;

/** Error of a connection to a machine on which nothing listens at the address. */
const REFUSED_CODE = "ECONNREFUSED";

/** Makes what is heard of a server that is not there. */
export const makeAbsent = (detail: string, cause: AbsenceCause): ServerPresence => ({
  kind: "absent",
  cause,
  detail,
});

/** A server that has started again answers by the same name, and knows nothing of what ran there before. */
const judgeAnswer = (
  entry: ServerQuestion["entry"],
  answer: AnswerHead,
  startedAt: Ms | undefined,
): ServerPresence => {
  const isOther = answer.server !== undefined && answer.server !== entry.name;
  if (answer.isOtherServer || isOther)
    return makeAbsent("another server has its address", "ended");
  const isTold = startedAt !== undefined && entry.startedAt !== undefined;
  if (isTold && startedAt !== entry.startedAt)
    return makeAbsent("it has started again", "ended");
  return { kind: "present", startedAt, signs: answer.signs };
};

/** Resolves with what is heard first; a body that does not end in time leaves it at the head. */
export const askServer = (question: ServerQuestion): Promise<ServerPresence> =>
  new Promise((resolve) => {
    const { clock, codec, entry, healthPath, connectLimit } = question;
    let answer: AnswerHead | undefined;
    let body = Buffer.alloc(0);
    const finish = (presence: ServerPresence) => {
      timer.cancel();
      exchange.cancel();
      resolve(presence);
    };
    const judgeHeard = (heard: AnswerHead) =>
      judgeAnswer(entry, heard, heard.startedAt ?? codec.decodeHealthBody(body));
    const finishBy = (detail: string) => {
      const cause = detail === REFUSED_CODE ? "ended" : "not_heard";
      finish(answer ? judgeHeard(answer) : makeAbsent(detail, cause));
    };
    const exchange = openExchange(
      clock,
      {
        address: entry.address,
        method: "GET",
        target: healthPath,
        headers: codec.encodeHealthCall(entry),
        body: Buffer.alloc(0),
        connectLimit,
      },
      {
        onHead: (status, raw) => {
          answer = codec.decodeAnswer(status, raw);
          const isEnough = answer.isOtherServer || answer.startedAt !== undefined;
          if (isEnough || entry.startedAt === undefined) finish(judgeHeard(answer));
        },
        onData: (chunk) => {
          body = Buffer.concat([body, chunk]);
          if (body.length > MAX_BODY_BYTES) finishBy("an answer too long");
        },
        onEnd: () => finishBy("no answer"),
        onFailure: ({ detail }) => finishBy(detail),
      },
    );
    const timer = clock.setTimer(ANSWER_LIMIT_MS, () => finishBy("no answer in time"));
  });
