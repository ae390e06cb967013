/** Finds the origin of a stream that a client takes up: on record here, or at the boxes that this one is linked to. */
import {
  waitFor,
  waitForLimit,
  type BoxName,
  type Clock,
  type Ms,
  type Result,
} from "@stairgauge/common";
import { ASK_LIMIT_MS, ASK_PAUSES_MS } from "./constants.js";
import type { OriginRegistry } from "./originRegistry.js";
import type { OriginAnswer, OriginQuestion, SharedOrigin, StreamKey } from "./types.js";

/** Asks one box. */
export type AskOrigin = (
  box: BoxName,
  question: OriginQuestion,
  signal: AbortSignal,
) => Promise<Result<OriginAnswer, unknown>>;

/** Dependencies of the finder. */
export type OriginFinderDeps = Readonly<{
  clock: Clock;
  registry: Pick<OriginRegistry, "find">;
  listConnected: () => readonly BoxName[];
  ask: AskOrigin;
}>;

/** The origin, or how many of the boxes that were asked have answered that they don't know it. */
export type FoundOrigin = Readonly<
  | { kind: "known"; origin: SharedOrigin; by: BoxName | undefined }
  | { kind: "not_known"; answered: number }
>;

/** Finds origins. */
export type OriginFinder = Readonly<{
  find: (key: StreamKey) => Promise<FoundOrigin>;
}>;

/** Creates the finder. */
export const createOriginFinder = (deps: OriginFinderDeps): OriginFinder => {
  const { clock, registry, listConnected, ask } = deps;

  const findHere = (key: StreamKey): FoundOrigin | undefined => {
    const origin = registry.find(key, clock.monotonic());
    return origin && { kind: "known", origin, by: undefined };
  };

  /** Asks all boxes at once; resolves with the first that knows, or when all have answered or the time is over. */
  const askAll = async (key: StreamKey): Promise<FoundOrigin> => {
    const call = new AbortController();
    let answered = 0;
    const found = await new Promise<FoundOrigin | undefined>((resolve) => {
      const askOne = async (box: BoxName) => {
        const reply = await ask(box, { key }, call.signal);
        if (reply.err) return;
        if (reply.val.kind === "known")
          resolve({ kind: "known", origin: reply.val.origin, by: box });
        else answered += 1;
      };
      void Promise.all(listConnected().map(askOne)).then(() => resolve(undefined));
      void waitForLimit(clock, ASK_LIMIT_MS).then(() => resolve(undefined));
    });
    call.abort();
    return found ?? { kind: "not_known", answered };
  };

  return {
    find: async (key) => {
      let found: FoundOrigin = { kind: "not_known", answered: 0 };
      for (const pause of ASK_PAUSES_MS) {
        if (pause > 0) await waitFor(clock, pause as Ms);
        found = findHere(key) ?? (await askAll(key));
        if (found.kind === "known") return found;
      }
      return findHere(key) ?? found;
    },
  };
};
