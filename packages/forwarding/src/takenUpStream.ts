/** Streams that clients take up after a broken connection, at any box. */
import type { Ms } from "@stairgauge/common";
import type { OriginSource, OriginSubject, ResolvedOrigin } from "@stairgauge/origins";
import type { StreamBinding } from "@stairgauge/placement";
import type { Route } from "@stairgauge/routing";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { RequestHead } from "./types.js";

/** Whether the client takes up a stream that has brought it events. Other routes ignore the position that it states. */
export const isTakenUp = (
  route: Pick<Route, "isResumable">,
  { lastEventId }: Pick<RequestHead, "lastEventId">,
): boolean => route.isResumable && lastEventId !== undefined;

/** Describes a stream by the request that began it: the one that the client names, if it takes a stream up. */
export const describeOrigin = ({
  head,
  route,
  workspace,
  service,
}: Pick<AdmittedRequest, "head" | "route" | "workspace" | "service">): OriginSubject => {
  const named = head.resumes.kind === "named" ? head.resumes.id : undefined;
  return {
    host: head.host,
    caller: workspace?.name,
    requestId: isTakenUp(route, head) ? named : head.id,
    service,
    answerLimit: route.answerLimit,
  };
};

/** Whether a stream that a client takes up may go on, and where. */
export type TakeUpDecision = Readonly<
  | { kind: "goes_on"; binding: StreamBinding; source: OriginSource }
  | {
      kind: "refused";
      reason: "origin_not_known" | "no_server_of_version";
      /** Undefined if the stream can't go on later either. */
      retryAfter: Ms | undefined;
    }
>;

/**
 * Decides it. A client whose stream can't go on is told no time at which to come back: it may begin anew at once. Its
 * service may have changed since the stream began; then no server that the route allows has the stream's software.
 */
export const decideTakeUp = (
  resolved: ResolvedOrigin,
  { shares }: Pick<Route, "shares">,
  retryAfter: Ms,
): TakeUpDecision => {
  if (resolved.kind === "not_known")
    return {
      kind: "refused",
      reason: "origin_not_known",
      retryAfter: resolved.isCutOff ? retryAfter : undefined,
    };
  const { binding, source } = resolved;
  return shares.some(({ service }) => service === binding.service)
    ? { kind: "goes_on", binding, source }
    : { kind: "refused", reason: "no_server_of_version", retryAfter: undefined };
};
