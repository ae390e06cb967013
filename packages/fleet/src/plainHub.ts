/**
 * Answers other boxes' questions where to place plain requests of contended services, and reserves the
 * slots that it gives.
 */
import type { AdmissionEvent } from "@stairgauge/capacity";
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import {
  createPlainRun,
  type LoadRegistry,
  type PlaceQuestion,
  type PlainTerms,
} from "@stairgauge/placement";
import type { AdmissionSteps, PlainAdmitter, PlainDecision } from "./admitPlain.js";
import { createHeldRequests } from "./heldRequests.js";

/** Dependencies of the plain hub. */
export type PlainHubOptions = Readonly<{
  clock: Clock;
  registry: LoadRegistry;
  admitter: PlainAdmitter;
  /** Delay after which a refused client should retry, where the queue states none. */
  retryAfter: Ms;
  onEvent: (event: AdmissionEvent) => void;
}>;

/** A question about a plain request. */
export type PlainQuestion = PlaceQuestion & Readonly<{ admission: PlainTerms }>;

/** An answer to it; `no_room` means that the request waits. */
export type PlainHubAnswer =
  PlainDecision | Readonly<{ kind: "no_room"; memoryAfter: number }>;

/** Answers questions about plain requests. */
export type PlainHub = Readonly<{
  answer: (question: PlainQuestion, signal: AbortSignal) => Promise<PlainHubAnswer>;
}>;

/** How long a given slot is reserved until the box reports the request, normally a few milliseconds. */
const CONFIRM_MS = 500 as Ms;

/** Most requests of other boxes that wait here, far beyond what servers can serve before deadlines. */
const MAX_HELD = 4_096;

const WAITS = { kind: "no_room", memoryAfter: 0 } as const;

/** Creates the plain hub. */
export const createPlainHub = (options: PlainHubOptions): PlainHub => {
  const { clock, registry, admitter, retryAfter, onEvent } = options;
  const held = createHeldRequests<PlainDecision>(clock);

  /** Records the request as its box would report it; the box's own report then replaces this record. */
  const reserveSlot = ({ box, run: asked }: PlainQuestion, { entry }: BackendServer) => {
    const run = createPlainRun(asked.id);
    registry.putPeerRun(box, { server: entry.id, run });
    clock.setTimer(CONFIRM_MS, () => {
      if (registry.findPeerRun(box, entry.id, run.id) !== run) return;
      registry.removePeerRun(box, entry.id, run.id);
      admitter.onEnded(entry.id);
    });
  };
  const startAdmission = (question: PlainQuestion, { decide, fail }: AdmissionSteps) => {
    const { box, service, tier, regions, except, admission } = question;
    return admitter.admit(
      {
        box,
        owner: "other",
        service,
        demand: { tier, regions, tokens: undefined },
        except: new Set(except),
        terms: admission,
      },
      {
        decide: (decision) => {
          if (decision.kind === "placed") reserveSlot(question, decision.server);
          decide(decision);
        },
        fail,
      },
    );
  };

  return {
    answer: async (question, signal) => {
      const { box, service, run, urgency } = question;
      const askedAt = clock.monotonic();
      const key = `${box} ${run.id}`;
      if (!held.has(key) && held.count() >= MAX_HELD) {
        const waited = 0 as Ms;
        const cause = "too_many_held";
        onEvent({ kind: "plain_refused", box, service, cause, retryAfter, waited });
        return { kind: "refused", reason: "no_room", retryAfter };
      }
      const decision = await held.await(
        {
          key,
          wait: urgency.kind === "within" ? urgency.wait : (0 as Ms),
          start: (decide, fail) => startAdmission(question, { decide, fail }),
          onGivenUp: () => {
            const waited = (clock.monotonic() - askedAt) as Ms;
            onEvent({ kind: "plain_given_up", box, service, waited });
          },
        },
        signal,
      );
      return decision ?? WAITS;
    },
  };
};
