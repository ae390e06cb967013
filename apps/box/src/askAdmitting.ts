/** Asks the admitting box where plain requests go, and converts its answers to decisions of this box. */
import { computeAskLimit, type AdmissionEvent } from "@stairgauge/capacity";
import type { BoxName, Clock, Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { FleetPlacer } from "@stairgauge/fleet";
import type { PlainAdmission, PlainRequest } from "@stairgauge/forwarding";
import type { AdmittingAsker, AskScope, PeerLinks, PlaceAnswer } from "@stairgauge/peers";
import {
  createPlainRun,
  type Demand,
  type PlaceQuestion,
  type PlaceUrgency,
} from "@stairgauge/placement";

export type AdmittingQuestionsOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  asker: Pick<AdmittingAsker, "ask">;
  links: Pick<PeerLinks, "askPlace">;
  placer: Pick<FleetPlacer, "choose" | "getRunId" | "listClosedTo" | "mayTakeWork">;
  findServer: (id: ServerId) => BackendServer | undefined;
  findScope: (service: ServiceName) => AskScope;
  onEvent: (event: AdmissionEvent) => void;
}>;

type PlainAnswer = Awaited<ReturnType<PlainAdmission["ask"]>>;

export const toDemand = ({ tier, regions }: PlainRequest): Demand => ({
  tier,
  regions,
  tokens: undefined,
});

/** Creates the client of the admitting box. */
export const createAdmittingQuestions = (
  options: AdmittingQuestionsOptions,
): PlainAdmission["ask"] => {
  const { clock, own, asker, links, placer, findServer, onEvent } = options;

  const buildQuestion = (request: PlainRequest, urgency: PlaceUrgency): PlaceQuestion => {
    const { head, service, tier, regions, workspace, subject, workMs } = request;
    const now = clock.monotonic();
    // The admitting box does not know this box's backoffs and its parts of the servers' limits.
    const closed = placer.listClosedTo(service, toDemand(request));
    return {
      box: own,
      run: createPlainRun(placer.getRunId(head)),
      service,
      tier,
      regions,
      except: [...new Set([...request.except, ...closed])],
      urgency,
      admission: {
        workspace,
        subject,
        aimInMs: (request.aimAt - now) as Ms,
        endsInMs: (request.endsAt - now) as Ms,
        workMs,
      },
    };
  };
  const toPlaced = (
    answer: Extract<PlaceAnswer, { kind: "placed" }>,
    by: BoxName,
  ): PlainAnswer => {
    // Boxes of earlier releases take the request for a generation, and count no slots.
    if (answer.memoryAfter !== undefined) {
      onEvent({ kind: "admission_not_used", by, why: "older_box" });
      return undefined;
    }
    const server = findServer(answer.server);
    if (server && placer.mayTakeWork(server))
      return { kind: "decided", decision: { ...answer, server }, by };
    onEvent({ kind: "admission_not_used", by, why: "server_unusable" });
    return undefined;
  };
  const toAnswer = (answer: PlaceAnswer, by: BoxName): PlainAnswer => {
    switch (answer.kind) {
      case "placed":
        return toPlaced(answer, by);
      case "no_room":
        return { kind: "waits" };
      case "no_server":
        return { kind: "decided", decision: answer, by };
      case "refused": {
        const { reason, retryAfter } = answer;
        return {
          kind: "decided",
          decision: { kind: "no_server", reason, known: 0, retryAfter },
          by,
        };
      }
      case "unknown":
        onEvent({ kind: "admission_not_used", by, why: "unknown_kind" });
        return undefined;
    }
  };

  return async (request, urgency, signal) => {
    const aimLeft = (request.aimAt - clock.monotonic()) as Ms;
    const wait = urgency.kind === "within" ? urgency.wait : 0;
    const reply = await asker.ask({
      call: links.askPlace,
      question: buildQuestion(request, urgency),
      limit: (computeAskLimit(aimLeft) + wait) as Ms,
      signal,
      scope: options.findScope(request.service),
    });
    return reply && toAnswer(reply.answer, reply.by);
  };
};
