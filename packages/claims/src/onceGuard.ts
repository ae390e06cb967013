/** Runs calls at most once: a call is sent only after its key was claimed in the table service. */
import { assertNever, type Clock, type Ms, type Random } from "@stairgauge/common";
import {
  createOnceCall,
  type Claim,
  type KeptAnswer,
  type OnceAction,
  type OnceEvent,
  type OnceRefusal,
  type Outcome,
} from "@stairgauge/outcomes";
import type { TableService, WriteFailure } from "@stairgauge/stores";
import { decodeClaim, encodeClaim, toClaimRow, type OnceKey } from "./claimRecord.js";
import type { WriteBatcher } from "./writeBatcher.js";

/** Attempts to write how a call ended. */
const MAX_END_WRITES = 4;

/** Delay before the next attempt after a failed read or write of the store. */
const RETRY_DELAY_MS = 200 as Ms;

/** Milliseconds until a claim expires. By then the box that made it has stopped waiting for the call. */
const CALL_LIFE_MS = 120_000;

/** Callbacks for one call. Exactly one of them is called, once. */
export type OnceHandlers = Readonly<{
  /** The claim is confirmed: send the call now. */
  onSend: (claimed: ClaimedCall) => void;
  /** The call ran before: return its stored answer. */
  onReplay: (answer: KeptAnswer) => void;
  /** The call is not sent; `outcome` says whether it may have run before. */
  onRefused: (reason: OnceRefusal, outcome: Outcome) => void;
}>;

/** A call whose claim is confirmed. Its owner must record once how it ended. */
export type ClaimedCall = Readonly<{
  /** Resolves once the answer is stored, or after the last attempt to store it has failed. */
  recordAnswer: (answer: KeptAnswer | undefined) => Promise<void>;
  /** Resolves like `recordAnswer`. */
  recordFailure: (outcome: Outcome) => Promise<void>;
}>;

/** Runs each call at most once per key. */
export type OnceGuard = Readonly<{
  /** Claims the call's key, then calls one of the handlers. */
  claim: (
    call: Readonly<{ key: OnceKey; contentHash: string }>,
    handlers: OnceHandlers,
  ) => void;
}>;

/** Creates the guard of one box. */
export const createOnceGuard = (deps: {
  readonly table: TableService;
  readonly batcher: WriteBatcher;
  readonly random: Random;
  readonly clock: Clock;
}): OnceGuard => {
  const { table, batcher, random, clock } = deps;

  const wait = () =>
    new Promise<void>((resolve) => {
      clock.setTimer(RETRY_DELAY_MS, resolve);
    });

  const toEvent = (failure: WriteFailure): OnceEvent => {
    switch (failure.kind) {
      case "store_unavailable":
        return { kind: "storeUnavailable" };
      case "answer_lost":
        return { kind: "claimAnswerLost" };
      case "conflict":
        return {
          kind: "claimConflict",
          found: failure.current && decodeClaim(failure.current),
        };
      default:
        return assertNever(failure);
    }
  };

  const claim: OnceGuard["claim"] = ({ key, contentHash }, handlers) => {
    const at = toClaimRow(key);
    const attempt = random.nextId();
    const expiresAt = clock.now() + CALL_LIFE_MS;
    const guard = createOnceCall({ attempt, contentHash, expiresAt });

    const dispatch = (event: OnceEvent): Promise<void> =>
      applyAll(guard.handle(event, clock.now()));
    const applyAll = async (actions: readonly OnceAction[]): Promise<void> => {
      for (const action of actions) await apply(action);
    };

    const writeClaim = async (value: Claim, expectedRevision: number | undefined) => {
      const result = await batcher.write({
        at,
        value: encodeClaim(value),
        expected:
          expectedRevision === undefined
            ? { kind: "absent" }
            : { kind: "revision", revision: expectedRevision },
      });
      await dispatch(
        result.err
          ? toEvent(result.val)
          : { kind: "claimWritten", revision: result.val.revision },
      );
    };
    const readClaim = async () => {
      const row = await table.read(at);
      if (row.err) {
        await wait();
        await dispatch({ kind: "readFailed" });
      } else
        await dispatch({ kind: "claimRead", found: row.val && decodeClaim(row.val) });
    };
    const writeEnd = async (value: Claim, revision: number) => {
      for (let attempts = 0; attempts < MAX_END_WRITES; attempts += 1) {
        const expected = { kind: "revision", revision } as const;
        const result = await batcher.write({ at, value: encodeClaim(value), expected });
        // NOTE: a conflict can mean that an earlier attempt was written but its answer was lost.
        if (result.ok || result.val.kind === "conflict") return;
        await wait();
      }
    };
    const releaseClaim = async () => {
      const row = await table.read(at);
      const found = row.ok && row.val ? decodeClaim(row.val) : undefined;
      if (found?.claim.attempt !== attempt) return;
      await writeEnd({ ...found.claim, state: { kind: "not_run" } }, found.revision);
    };

    const claimed: ClaimedCall = {
      recordAnswer: (answer) => dispatch({ kind: "answered", answer }),
      recordFailure: (outcome) => dispatch({ kind: "callFailed", outcome }),
    };

    const apply = (action: OnceAction): Promise<void> | void => {
      switch (action.kind) {
        case "writeClaim":
          return writeClaim(action.claim, action.expectedRevision);
        case "readClaim":
          return readClaim();
        case "releaseClaim":
          return releaseClaim();
        case "writeEnd":
          return writeEnd(action.claim, action.expectedRevision);
        case "send":
          return handlers.onSend(claimed);
        case "replay":
          return handlers.onReplay(action.answer);
        case "refuse":
          return handlers.onRefused(action.reason, action.outcome);
        default:
          return assertNever(action);
      }
    };

    void dispatch({ kind: "started" });
  };

  return { claim };
};
