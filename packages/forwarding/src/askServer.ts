/** Asks a server whether it is still there, by its health path: another process at its address says who it is. */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerEntry } from "@stairgauge/directory";
import { openExchange } from "./openExchange.js";
import type { AnswerHead, HeadCodec } from "./types.js";

/** What was heard: an answer of the server itself, or whatever says less. */
export type ServerSign = Readonly<
  { kind: "present" } | { kind: "absent"; detail: string }
>;

/** Longest that an answer is waited for: a health path waits for a slot like a request, at most as long as the slowest ones take. */
const ANSWER_LIMIT_MS = 1_000 as Ms;

/** Whom to ask, and how. */
export type ServerQuestion = Readonly<{
  clock: Clock;
  codec: Pick<HeadCodec, "encodeHealthCall" | "decodeAnswer">;
  entry: Pick<ServerEntry, "id" | "address">;
  healthPath: string;
  /** How long a connection may take to come up. */
  connectLimit: Ms;
}>;

const judgeAnswer = (id: ServerEntry["id"], answer: AnswerHead): ServerSign => {
  const isOther = answer.server !== undefined && answer.server !== id;
  if (answer.isOtherServer || isOther)
    return { kind: "absent", detail: "another server has its address" };
  return { kind: "present" };
};

/** Resolves with what is heard first. */
export const askServer = (question: ServerQuestion): Promise<ServerSign> =>
  new Promise((resolve) => {
    const { clock, codec, entry, healthPath, connectLimit } = question;
    const finish = (sign: ServerSign) => {
      timer.cancel();
      exchange.cancel();
      resolve(sign);
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
        onHead: (status, raw) =>
          finish(judgeAnswer(entry.id, codec.decodeAnswer(status, raw))),
        onData: () => undefined,
        onEnd: () => undefined,
        onFailure: ({ detail }) => finish({ kind: "absent", detail }),
      },
    );
    const timer = clock.setTimer(ANSWER_LIMIT_MS, () =>
      finish({ kind: "absent", detail: "no answer in time" }),
    );
  });
