/** What a box asks of the hubs, and what a hub answers: the two ends of advice, put into each other's words. */
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

/** What asking needs. */
export type HubsOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  links: Pick<PeerLinks, "isHub" | "listHubs" | "listUp" | "askPlace" | "askMoves">;
  findServer: (id: ServerId) => BackendServer | undefined;
  /** Whether this box itself may send anything new to a server, whatever a hub says. */
  mayTakeWork: (server: BackendServer) => boolean;
  /** Servers that have turned this box away, and rest: no hub knows of it. */
  listResting: () => readonly ServerId[];
  onPassedOver: (hub: BoxName) => void;
}>;

/** What the hubs tell. */
export type Hubs = Readonly<{
  adviser: PlacementAdvisor;
  askForFacts: (
    server: BackendServer,
    isFresh: boolean,
  ) => Promise<MoveFacts | undefined>;
}>;

/** An answer takes some 5 ms; the time to a first event is 1.5 s or more, of which a hub that is gone may cost this. */
export const PLACE_LIMIT_MS = 150;

/** The hub asks the leaving engine first. */
const MOVES_LIMIT_MS = 300 as Ms;

const computeLimit = ({ urgency }: AdviceRequest): Ms =>
  ((urgency.kind === "within" ? urgency.wait : 0) + PLACE_LIMIT_MS) as Ms;

const buildQuestion = (
  own: BoxName,
  request: AdviceRequest,
  resting: readonly ServerId[],
): PlaceQuestion => {
  const { id, service, tier, tokens, regions, urgency } = request;
  const except = new Set([...request.except, ...resting]);
  const run = {
    id,
    promptTokens: tokens.prompt,
    expectedOut: tokens.expectedOut,
    isMovable: tokens.isMovable,
    hasBegun: false,
  };
  return { box: own, run, service, tier, regions, except: [...except], urgency };
};

/** Creates what asks the hubs. */
export const createHubs = (options: HubsOptions): Hubs => {
  const { clock, own, links, findServer, onPassedOver } = options;
  const asker = createHubAsker({ clock, links, onPassedOver });

  /** A server that this box does not know yet is none that it could send to. */
  const toAdvice = (answer: PlaceAnswer, by: BoxName): Advice | undefined => {
    if (answer.kind === "no_room") return answer;
    if (answer.kind === "no_server") {
      // The hub was told to leave out those that rest: why there is none, and until when, this box knows better.
      if (options.listResting().length > 0) return undefined;
      return { kind: "decided", decision: answer, by };
    }
    const server = findServer(answer.server);
    if (!server || !options.mayTakeWork(server)) return undefined;
    return { kind: "decided", decision: { ...answer, server }, by };
  };

  return {
    adviser: {
      isNeeded: asker.isNeeded,
      ask: async (request, signal) => {
        const told = await asker.ask({
          call: links.askPlace,
          question: buildQuestion(own, request, options.listResting()),
          limit: computeLimit(request),
          signal,
        });
        return told && toAdvice(told.answer, told.by);
      },
    },
    askForFacts: async ({ entry }, isFresh) => {
      const told = await asker.ask({
        call: links.askMoves,
        question: { server: entry.id, isFresh },
        limit: MOVES_LIMIT_MS,
        signal: new AbortController().signal,
      });
      return told?.answer.kind === "moves" ? told.answer : undefined;
    },
  };
};

/** Puts a hub's choice into the words of the wire. */
export const toPlaceAnswer = (advice: GivenAdvice): PlaceAnswer => {
  if (advice.kind !== "placed") return advice;
  return { ...advice, server: advice.server.entry.id };
};

/** Answers what leaves an engine and where to. */
export const answerMoves = async (
  directory: Pick<ServerDirectory, "find">,
  planner: Pick<MovePlanner, "findFacts">,
  { server, isFresh }: MovesQuestion,
): Promise<MovesAnswer> => {
  const known = directory.find(server);
  if (!known) return { kind: "not_known" };
  return { kind: "moves", ...(await planner.findFacts(known, isFresh)) };
};
