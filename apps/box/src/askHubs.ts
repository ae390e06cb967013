/**
 * Placement advice between boxes: asks the hubs, and converts a hub's own decisions to
 * messages.
 */
import type { BoxName, Clock, Ms } from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { GivenAdvice, MoveFacts, MovePlanner } from "@stairgauge/fleet";
import type { Advice, AdviceRequest, PlacementAdvisor } from "@stairgauge/forwarding";
import {
  createHubAsker,
  type MovesAnswer,
  type MovesQuestion,
  type PeerLinks,
  type PlaceAnswer,
  type PlaceQuestion,
} from "@stairgauge/peers";
import { fitsBinding } from "@stairgauge/placement";

export type HubsOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  links: Pick<
    PeerLinks,
    "isHub" | "listHubs" | "listConnected" | "askPlace" | "askMoves"
  >;
  findServer: (id: ServerId) => BackendServer | undefined;
  /** Whether this box may send new requests to a server, whatever a hub says. */
  mayTakeWork: (server: BackendServer) => boolean;
  /** Servers that have asked this box for a backoff; hubs have no record of them. */
  listBackingOff: () => readonly ServerId[];
  onEjected: (hub: BoxName) => void;
}>;

/** Requests to the hubs. */
export type Hubs = Readonly<{
  advisor: PlacementAdvisor;
  askForFacts: (
    server: BackendServer,
    isFresh: boolean,
  ) => Promise<MoveFacts | undefined>;
}>;

/**
 * Time limit of a placement request. An answer takes about 5 ms; the time to a first event is
 * 1.5 s or more, and a failed hub may cost this much of it.
 */
export const PLACE_LIMIT_MS = 150;

/** Longer than the limit of a placement, since the hub asks the leaving engine first. */
const MOVES_LIMIT_MS = 300 as Ms;

const computeLimit = ({ urgency }: AdviceRequest): Ms =>
  ((urgency.kind === "within" ? urgency.wait : 0) + PLACE_LIMIT_MS) as Ms;

const buildQuestion = (
  own: BoxName,
  request: AdviceRequest,
  resting: readonly ServerId[],
): PlaceQuestion => {
  const { id, service, tier, tokens, regions, binding, sharer, urgency } = request;
  const except = new Set([...request.except, ...resting]);
  const run = {
    id,
    promptTokens: tokens.prompt,
    expectedOut: tokens.expectedOut,
    isMovable: tokens.isMovable,
    hasBegun: false,
  };
  const demand = { service, tier, regions, binding };
  return { box: own, run, ...demand, sharer, except: [...except], urgency };
};

/** Creates the client of the hubs. */
export const createHubs = (options: HubsOptions): Hubs => {
  const { clock, own, links, findServer, onEjected } = options;
  const asker = createHubAsker({ clock, links, onEjected });

  /**
   * Converts a hub's answer; undefined if this box can't use it, for example because the server
   * isn't in its list yet.
   */
  const toAdvice = (
    answer: PlaceAnswer,
    by: BoxName,
    { binding }: AdviceRequest,
  ): Advice | undefined => {
    if (answer.kind === "no_room") return answer;
    // Only plain requests are refused; a kind of a later release is no advice.
    if (answer.kind === "refused" || answer.kind === "unknown") return undefined;
    if (answer.kind === "no_server") {
      // The request excluded servers in backoff, so only this box can decide why none is left
      // and until when.
      if (options.listBackingOff().length > 0) return undefined;
      return { kind: "decided", decision: answer, by };
    }
    const server = findServer(answer.server);
    if (!server || !options.mayTakeWork(server)) return undefined;
    // A hub of an earlier release, or with an older list, may choose another version.
    if (!fitsBinding(server, binding)) return undefined;
    return { kind: "decided", decision: { ...answer, server }, by };
  };

  return {
    advisor: {
      isNeeded: asker.isNeeded,
      ask: async (request, signal) => {
        const reply = await asker.ask({
          call: links.askPlace,
          question: buildQuestion(own, request, options.listBackingOff()),
          limit: computeLimit(request),
          signal,
        });
        return reply && toAdvice(reply.answer, reply.by, request);
      },
    },
    askForFacts: async ({ entry }, isFresh) => {
      const reply = await asker.ask({
        call: links.askMoves,
        question: { server: entry.id, isFresh },
        limit: MOVES_LIMIT_MS,
        signal: new AbortController().signal,
      });
      return reply?.answer.kind === "moves" ? reply.answer : undefined;
    },
  };
};

/** Converts a hub's decision to a message. */
export const toPlaceAnswer = (advice: GivenAdvice): PlaceAnswer => {
  if (advice.kind !== "placed") return advice;
  return { ...advice, server: advice.server.entry.id };
};

/** Answers which runs should leave an engine and where they may go. */
export const answerMoves = async (
  directory: Pick<ServerDirectory, "find">,
  planner: Pick<MovePlanner, "findFacts">,
  { server, isFresh }: MovesQuestion,
): Promise<MovesAnswer> => {
  const found = directory.find(server);
  if (!found) return { kind: "not_known" };
  return { kind: "moves", ...(await planner.findFacts(found, isFresh)) };
};
