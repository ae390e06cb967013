/** What a request needs of a server, by what its client declares. Pure. */
import type { Demand } from "@stairgauge/placement";
import { mayRepeat } from "./decideNext.js";
import type { AdmittedRequest } from "./forwarderTypes.js";

/** Tokens of an event when the configuration does not say; from the users' sites. */
export const TOKENS_PER_EVENT = 4;

/** Tokens expected of a generation whose client gives no guess: a short answer. */
const DEFAULT_EXPECTED_TOKENS = 64;

/** Computes the demand; only a generation with declared tokens needs memory. */
export const computeDemand = ({
  head,
  route,
}: Pick<AdmittedRequest, "head" | "route">): Demand => {
  if (route.kind !== "stream" || !head.usage) return { tokens: undefined };
  const { prompt, mostOut } = head.usage;
  const guess = head.lengthGuess ?? DEFAULT_EXPECTED_TOKENS;
  return {
    tokens: {
      prompt,
      expectedOut: Math.min(guess, mostOut || guess),
      isMovable: !mayRepeat(route),
    },
  };
};
