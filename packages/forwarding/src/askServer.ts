/**
 * Sends a health check to a server's address to find out whether the same server process still runs
 * there. Another process at the address identifies itself in its answer.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerEntry } from "@stairgauge/directory";
import type { ServerSignals } from "@stairgauge/signals";
import { createHeldBody, describeExcess, HELD_BODY_LIMITS } from "./answerLimits.js";
import { describeHeadFault, findHeadFault } from "./checkAnswerHead.js";
import { openExchange, REFUSED_CODE, type OpenBuilt } from "./openExchange.js";
import type { AnswerHead, HeadCodec } from "./types.js";

/** Result of a health check: an answer of the expected server, or anything else. */
export type ServerPresence = Readonly<
  | {
      kind: "present";
      /** When the server's process started; undefined if the answer does not state it. */
      startedAt: Ms | undefined;
      /** Signals that the answer carries. */
      signals: ServerSignals;
    }
  | { kind: "absent"; cause: AbsenceCause; detail: string }
>;

/**
 * Why a server counts as absent. `ended`: its address proves it (another server answers, or nothing
 * listens); `not_heard`: it gave no valid answer.
 */
export type AbsenceCause = "ended" | "not_heard";

/** The server to check, and what the check needs. */
export type ServerQuestion = Readonly<{
  clock: Clock;
  codec: Pick<HeadCodec, "encodeHealthCall" | "decodeAnswer" | "decodeHealthBody">;
  entry: Pick<ServerEntry, "name" | "address" | "startedAt">;
  healthPath: string;
  /** Timeout for establishing the connection. */
  connectLimit: Ms;
  /** Sends the check; over this box's own connection if undefined. */
  open?: OpenBuilt | undefined;
}>;

/** Creates the result for an absent server. */
export const makeAbsent = (detail: string, cause: AbsenceCause): ServerPresence => ({
  kind: "absent",
  cause,
  detail,
});

/** A restarted server has the same name but has lost all its runs, so it counts as absent. */
const classifyAnswer = (
  entry: ServerQuestion["entry"],
  answer: AnswerHead,
  startedAt: Ms | undefined,
): ServerPresence => {
  const isOther = answer.server !== undefined && answer.server !== entry.name;
  if (answer.isOtherServer || isOther)
    return makeAbsent("another server has its address", "ended");
  const areStartsKnown = startedAt !== undefined && entry.startedAt !== undefined;
  if (areStartsKnown && startedAt !== entry.startedAt)
    return makeAbsent("it has started again", "ended");
  return { kind: "present", startedAt, signals: answer.signals };
};

/** Resolves with the result; if the body does not end in time, the head alone decides. */
export const askServer = (question: ServerQuestion): Promise<ServerPresence> =>
  new Promise((resolve) => {
    const { clock, codec, entry, healthPath, connectLimit } = question;
    const { open = (build, sink) => openExchange(clock, build(), sink) } = question;
    let answer: AnswerHead | undefined;
    const limits = HELD_BODY_LIMITS.healthCheck;
    const body = createHeldBody(limits);
    const finish = (presence: ServerPresence) => {
      timer.cancel();
      exchange.cancel();
      resolve(presence);
    };
    const classifyReceived = (received: AnswerHead) =>
      classifyAnswer(
        entry,
        received,
        received.startedAt ?? codec.decodeHealthBody(body.getBytes()),
      );
    const finishEarly = (detail: string) => {
      const cause = detail === REFUSED_CODE ? "ended" : "not_heard";
      finish(answer ? classifyReceived(answer) : makeAbsent(detail, cause));
    };
    const exchange = open(
      () => ({
        address: entry.address,
        method: "GET",
        target: healthPath,
        headers: codec.encodeHealthCall(entry),
        body: Buffer.alloc(0),
        connectLimit,
      }),
      {
        onHead: (status, raw, reason) => {
          const fault = findHeadFault({ status, headers: raw, reason });
          if (fault) {
            finish(makeAbsent(describeHeadFault(fault), "not_heard"));
            return;
          }
          answer = codec.decodeAnswer(status, raw);
          const isEnough = answer.isOtherServer || answer.startedAt !== undefined;
          if (isEnough || entry.startedAt === undefined) finish(classifyReceived(answer));
        },
        onData: (chunk) => {
          const excess = body.add(chunk);
          if (!excess) return;
          exchange.cancelFor(excess);
          finish(makeAbsent(describeExcess(excess), "not_heard"));
        },
        onEnd: () => finishEarly("no answer"),
        onFailure: ({ detail }) => finishEarly(detail),
      },
    );
    const timer = clock.setTimeLimit(limits.maxTime, () =>
      finishEarly("no answer in time"),
    );
  });
