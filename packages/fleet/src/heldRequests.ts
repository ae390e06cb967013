/**
 * Requests of other boxes that wait at the admitting box, between the questions in which those boxes
 * ask for them. A request is dropped when its box no longer asks.
 */
import {
  Err,
  Ok,
  type Clock,
  type Ms,
  type Result,
  type Timer,
} from "@stairgauge/common";

/** Starts the admission of a request; the returned function cancels it. `decide` and `fail` may be called at once. */
export type StartAdmission<Given> = (
  decide: (given: Given) => void,
  fail: (error: unknown) => void,
) => () => void;

/** Requests that wait. */
export type HeldRequests<Given> = Readonly<{
  /**
   * Resolves with the decision about a request, or with undefined if there is none within `wait`; the
   * request then stays for a while, until it is asked for again. The signal drops it. Rejects if the
   * admission failed.
   */
  await: (
    question: HeldQuestion<Given>,
    signal: AbortSignal,
  ) => Promise<Given | undefined>;
  has: (key: string) => boolean;
  count: () => number;
}>;

/** One question for a request. */
export type HeldQuestion<Given> = Readonly<{
  /** Identifies the request among those of all boxes. */
  key: string;
  wait: Ms;
  start: StartAdmission<Given>;
  /** The box no longer asks for the request. */
  onGivenUp: () => void;
}>;

/**
 * How long a request is kept until its box asks for it again, which normally takes a few milliseconds.
 * It equals the time for which a given slot is reserved.
 */
const KEEP_MS = 500 as Ms;

type Held<Given> = {
  end: Result<Given, unknown> | undefined;
  cancel: () => void;
  /** Ends the current question. */
  answer: (() => void) | undefined;
  timer: Timer | undefined;
};

/** The decision, undefined if there is none yet; throws if the admission failed. */
const getGiven = <Given>({ end }: Held<Given>): Given | undefined => {
  if (end?.err) throw end.val;
  return end?.val;
};

/** Creates the set, with no requests. */
export const createHeldRequests = <Given>(
  clock: Pick<Clock, "setTimer">,
): HeldRequests<Given> => {
  const heldByKey = new Map<string, Held<Given>>();

  const drop = (key: string, held: Held<Given>) => {
    held.timer?.cancel();
    held.timer = undefined;
    if (heldByKey.get(key) === held) heldByKey.delete(key);
  };
  const dropUnasked = ({ key, onGivenUp }: HeldQuestion<Given>, held: Held<Given>) => {
    if (heldByKey.get(key) !== held) return;
    drop(key, held);
    held.answer = undefined;
    held.cancel();
    onGivenUp();
  };
  const startHeld = ({ key, start }: HeldQuestion<Given>): Held<Given> => {
    const held: Held<Given> = {
      end: undefined,
      cancel: () => undefined,
      answer: undefined,
      timer: undefined,
    };
    const settle = (end: Result<Given, unknown>) => {
      held.end = end;
      held.answer?.();
    };
    held.cancel = start(
      (given) => settle(Ok(given)),
      (error) => settle(Err(error)),
    );
    heldByKey.set(key, held);
    return held;
  };

  const takeAnswer = (
    question: HeldQuestion<Given>,
    held: Held<Given>,
  ): Promise<Given | undefined> => {
    held.answer = undefined;
    held.timer?.cancel();
    if (held.end) drop(question.key, held);
    else held.timer = clock.setTimer(KEEP_MS, () => dropUnasked(question, held));
    return new Promise((resolve) => resolve(getGiven(held)));
  };

  return {
    await: (question, signal) => {
      const held = heldByKey.get(question.key) ?? startHeld(question);
      held.timer?.cancel();
      // An earlier question for the same request ends without a decision.
      held.answer?.();
      held.timer?.cancel();
      if (held.end || question.wait === 0) return takeAnswer(question, held);
      return new Promise((resolve) => {
        const answer = () => resolve(takeAnswer(question, held));
        held.answer = answer;
        held.timer = clock.setTimer(question.wait, answer);
        signal.addEventListener(
          "abort",
          () => {
            if (held.answer !== answer) return;
            dropUnasked(question, held);
            resolve(undefined);
          },
          { once: true },
        );
      });
    },
    has: (key) => heldByKey.has(key),
    count: () => heldByKey.size,
  };
};
