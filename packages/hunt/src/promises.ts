/** The promises to callers and operators, each as a check of the history of a schedule. */
import { generateToken } from "@stairgauge/standins";
import type { History, StreamRecord } from "./simulationTypes.js";

/** An engine may receive new work for at most this long after it was marked as leaving. */
const LEAVING_BOUND_MS = 3_000;

/** Name of a broken promise, and how the history breaks it. */
export type BrokenPromise = Readonly<{ promise: string; detail: string }>;

/** Returns how the history breaks the promise; undefined if it does not. */
type Check = (history: History) => string | undefined;

const checkTokens = (record: StreamRecord): string | undefined => {
  const { tokens, continuation, ending, length } = record;
  if (tokens.length > 0 && !continuation) return undefined;
  const expected = tokens.map((_, i) =>
    continuation ? generateToken(continuation.generation, i) : "",
  );
  if (tokens.join("|") !== expected.join("|"))
    return `${record.id}: tokens of no one generation`;
  if (ending === "whole" && tokens.length !== length) {
    return `${record.id}: ended whole with ${tokens.length} of ${length} tokens`;
  }
  return undefined;
};

const findFirst = <T>(items: readonly T[], find: (item: T) => string | undefined) => {
  for (const item of items) {
    const detail = find(item);
    if (detail !== undefined) return detail;
  }
  return undefined;
};

const checkStreams: Check = ({ streams }) => findFirst(streams, checkTokens);

const checkEveryoneAnswered: Check = ({ streams }) =>
  findFirst(streams, ({ ending, id }) =>
    ending === "open" ? `${id}: no final answer` : undefined,
  );

const checkNotRun: Check = ({ streams, starts, onceCalls }) =>
  findFirst(streams, ({ outcome, id }) =>
    outcome === "not_run" && starts.some(({ prompt }) => prompt.startsWith(`${id} `))
      ? `${id}: said not run, but an engine started it`
      : undefined,
  ) ??
  findFirst(onceCalls, ({ outcome, wasSent, answer, key }) =>
    outcome === "not_run" && wasSent && answer !== undefined
      ? `${key}: said not run, but it ran`
      : undefined,
  );

const checkAtMostOnce: Check = ({ runs }) =>
  findFirst([...runs], ([key, count]) =>
    count > 1 ? `${key}: ran ${count} times` : undefined,
  );

const checkOwnAnswer: Check = ({ onceCalls }) =>
  findFirst(onceCalls, ({ key, content, answer }) =>
    answer !== undefined && answer !== `${key} ${content}`
      ? `${key} ${content}: was answered ${answer}`
      : undefined,
  );

const checkLeaving: Check = ({ leavingPeriods, starts }) =>
  findFirst(leavingPeriods, ({ engine, from, until }) => {
    const late = starts.find(
      (start) =>
        start.engine === engine && start.at > from + LEAVING_BOUND_MS && start.at < until,
    );
    return late && `engine ${engine}: new work ${late.at - from} ms after its mark`;
  });

const checkNeverReverts: Check = ({ adoptedHeads }) => {
  const digests = new Map<number, string>();
  return findFirst(adoptedHeads, (heads) =>
    findFirst(heads, (head) => {
      const before = heads[heads.indexOf(head) - 1];
      if (before && before.version >= head.version)
        return `version ${head.version} after ${before.version}`;
      const digest = digests.get(head.version) ?? head.digest;
      digests.set(head.version, digest);
      return digest === head.digest
        ? undefined
        : `two contents for version ${head.version}`;
    }),
  );
};

const checkInForce: Check = ({ finalHead, finalVersions }) =>
  findFirst(finalVersions, (version) =>
    version === finalHead
      ? undefined
      : `a box holds ${version} while the head is ${finalHead}`,
  );

const CHECKS = {
  "every token once, in order, from one generation": checkStreams,
  "everyone gets a final answer": checkEveryoneAnswered,
  "everyone gets the answer to their own request": checkOwnAnswer,
  "not run is true": checkNotRun,
  "a call not to be repeated runs at most once": checkAtMostOnce,
  "a leaving backend server gets no new work after 3 s": checkLeaving,
  "an accepted bundle never reverts": checkNeverReverts,
  "an accepted bundle is in force everywhere": checkInForce,
} as const satisfies Record<string, Check>;

/** Name of a checked promise. */
export type PromiseName = keyof typeof CHECKS;

/** Returns the first promise that the history breaks, or undefined. With `only`, checks just that promise. */
export const findBrokenPromise = (
  history: History,
  only?: PromiseName,
): BrokenPromise | undefined => {
  for (const [promise, check] of Object.entries(CHECKS)) {
    if (only !== undefined && promise !== only) continue;
    const detail = check(history);
    if (detail !== undefined) return { promise, detail };
  }
  return undefined;
};
