/** Chooses the server for a request. Pure but for the random source passed in. */
import type { ChoiceInputs } from "./choice.js";
import { choosePlain } from "./choosePlain.js";
import { pickLeast } from "./pickLeast.js";
import { scoreEngine } from "./scoreEngine.js";
import type { PlacementDecision } from "./types.js";

/** Returns the service times of the candidates' service if they are uneven. */
const findUnevenPace = ({ pace, candidates }: ChoiceInputs) => {
  const service = candidates[0]?.entry.service;
  const found = service === undefined ? undefined : pace?.readService(service);
  return found?.isUneven ? found : undefined;
};

/**
 * Chooses the candidate with the least load. Ties are broken at random, so that boxes don't all
 * choose the same server.
 */
export const chooseServer = (inputs: ChoiceInputs): PlacementDecision => {
  const { candidates, demand, random } = inputs;
  const isEngine = demand.tokens !== undefined;
  const pace = findUnevenPace(inputs);
  const chosen = isEngine
    ? pickLeast(
        candidates.map((server) => scoreEngine(server, inputs, pace)),
        random,
      )
    : choosePlain(inputs, pace);
  if (!chosen) return { kind: "no_server", reason: "none_left", known: 0 };
  const reason = isEngine ? "most_free_memory" : "least_busy";
  const { server, load, memoryAfter, reportAge, expectedMs } = chosen;
  return {
    kind: "placed",
    server,
    load,
    memoryAfter,
    reportAge,
    ...(expectedMs !== undefined && { expectedMs }),
    reason: candidates.length === 1 ? "only_one" : reason,
    candidates: candidates.length,
  };
};
