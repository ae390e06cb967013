/** Checks the promises over random schedules of faults, and that each check catches a system broken on purpose. */
import { describe, expect, it } from "vitest";
import type { GenerationId } from "@stairgauge/common";
import type { EngineClient } from "@stairgauge/engines";
import { findCounterexample } from "./findCounterexample.js";
import type { PromiseName } from "./promises.js";
import type { Variant } from "./simulationTypes.js";

const TIMEOUT_MS = 300_000;
const VARIANT_RUNS = 1_000;

describe("promises under kills, pauses, cut links, stalls, outages and races", () => {
  it.each([101, 102, 103, 104])(
    "hold over 500 schedules from seed %i",
    async (seed) => {
      expect(await findCounterexample({ seed, runs: 500 })).toBeUndefined();
    },
    TIMEOUT_MS,
  );
});

/** Disables the index check: each token frame gets the next index, so repeated tokens are delivered. */
const wrapWithoutIndexCheck = (client: EngineClient): EngineClient => ({
  ...client,
  openStart: (address, request, handlers) => {
    let nextIndex = 0;
    return client.openStart(address, request, {
      ...handlers,
      onFrame: (frame) => {
        if (frame.kind === "token") handlers.onFrame({ ...frame, index: nextIndex++ });
        else if (frame.kind === "end") handlers.onFrame({ ...frame, tokens: nextIndex });
        else handlers.onFrame(frame);
      },
    });
  },
});

/** Starts a new generation under the old id where the old generation should be resumed. */
const wrapSplicing = (client: EngineClient): EngineClient => {
  const requests = new Map<GenerationId, Parameters<EngineClient["openStart"]>[1]>();
  return {
    ...client,
    openStart: (address, request, handlers) => {
      requests.set(request.generation, request);
      return client.openStart(address, request, handlers);
    },
    openResume: (address, { generation, from }, handlers) => {
      const request = requests.get(generation);
      if (!request) return client.openResume(address, { generation, from }, handlers);
      const newGeneration = `x${generation}` as GenerationId;
      return client.openStart(
        address,
        { ...request, generation: newGeneration },
        {
          ...handlers,
          onFrame: (frame) => {
            if (frame.kind === "heartbeat") return handlers.onFrame(frame);
            if (frame.kind === "token" && frame.index < from) return;
            handlers.onFrame({ ...frame, generation });
          },
        },
      );
    },
  };
};

const BROKEN_VARIANTS: readonly Readonly<{
  name: string;
  promise: PromiseName;
  variant: Variant;
}>[] = [
  {
    name: "delivery without an index check",
    promise: "every token once, in order, from one generation",
    variant: { wrapEngines: wrapWithoutIndexCheck },
  },
  {
    name: "a new generation spliced in where the old one should be resumed",
    promise: "every token once, in order, from one generation",
    variant: { wrapEngines: wrapSplicing },
  },
  {
    name: "a call sent before it is claimed",
    promise: "a call not to be repeated runs at most once",
    variant: {
      wrapGuard: (guard) => ({
        claim: (call, handlers) => {
          const resolveAtOnce = () => Promise.resolve();
          handlers.onSend({ recordAnswer: resolveAtOnce, recordFailure: resolveAtOnce });
          guard.claim(call, { ...handlers, onSend: () => undefined });
        },
      }),
    },
  },
  {
    name: "answers stored without the hash of the request content",
    promise: "everyone gets the answer to their own request",
    variant: {
      wrapGuard: (guard) => ({
        claim: (call, handlers) =>
          guard.claim({ ...call, contentHash: "same" }, handlers),
      }),
    },
  },
  {
    name: "every failure reported as not run",
    promise: "not run is true",
    variant: {
      wrapSink: (sink) => ({
        ...sink,
        onFailed: (failure) => sink.onFailed({ ...failure, outcome: "not_run" }),
      }),
    },
  },
  {
    name: "failures that are never reported to the caller",
    promise: "everyone gets a final answer",
    variant: { wrapSink: (sink) => ({ ...sink, onFailed: () => undefined }) },
  },
  {
    name: "boxes that ignore leaving marks",
    promise: "a leaving backend server gets no new work after 3 s",
    variant: { ignoresMarks: true },
  },
  {
    name: "a head watcher that loses its version",
    promise: "an accepted bundle never reverts",
    variant: { adoptsAnyVersion: true },
  },
];

describe("findCounterexample catches", () => {
  it.each(BROKEN_VARIANTS)(
    "$name",
    async ({ promise, variant }) => {
      const counterexample = await findCounterexample({
        seed: 7,
        runs: VARIANT_RUNS,
        variant,
        only: promise,
      });
      expect(counterexample?.message).toContain(promise);
    },
    TIMEOUT_MS,
  );
});
