/** The origins of streams as one box uses them: records those that it relays, and resolves those that clients take up. */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { StreamBinding } from "@stairgauge/placement";
import { TAKE_UP_MARGIN_MS, WHOLE_LEFT_MS } from "./constants.js";
import { decideOrigin, type ResolvedOrigin } from "./decideOrigin.js";
import { hashStreamKey } from "./hashStreamKey.js";
import type { FoundOrigin, OriginFinder } from "./originFinder.js";
import type { OriginRegistry } from "./originRegistry.js";
import type { VersionSet } from "./versionHistory.js";
import type { OriginAnswer, OriginQuestion, SharedOrigin, StreamKey } from "./types.js";

/** A stream, by its caller and the request that began it. */
export type OriginSubject = Readonly<{
  host: string;
  caller: string | undefined;
  /** The request that brought the first event; undefined if the client does not name it. */
  requestId: string | undefined;
  /** The service that gets the request if its origin is not known. */
  service: ServiceName;
  /** Longest time of one answer. */
  answerLimit: Ms;
}>;

/** Dependencies of the origins. */
export type StreamOriginsDeps = Readonly<{
  clock: Clock;
  registry: OriginRegistry;
  finder: OriginFinder;
  /** Versions that may have begun a stream of the service; undefined if this box can't be sure of them. */
  listVersions: (service: ServiceName) => VersionSet | undefined;
  /** Resolves once this box knows which versions have served before it started, or has failed to learn it. */
  awaitVersions: () => Promise<unknown>;
  isOutOfTouch: () => boolean;
  countBoxes: () => number;
  countConnected: () => number;
  /** Sends an origin to the boxes that this one is linked to. */
  sendOrigin: (origin: SharedOrigin) => void;
}>;

/** The origins of streams at one box. */
export type StreamOrigins = Readonly<{
  /** Finds out what a stream that a client takes up is bound to. */
  resolve: (subject: OriginSubject) => Promise<ResolvedOrigin>;
  /** A stream of this box has brought its first event. */
  recordBegun: (subject: OriginSubject, binding: StreamBinding) => void;
  /** A stream of this box has ended whole. */
  recordWhole: (subject: OriginSubject, binding: StreamBinding) => void;
  answer: (question: OriginQuestion) => OriginAnswer;
  applyShared: (origins: readonly SharedOrigin[]) => void;
  listOwn: () => readonly SharedOrigin[];
}>;

const findKey = ({ host, caller, requestId }: OriginSubject): StreamKey | undefined =>
  requestId === undefined ? undefined : hashStreamKey({ host, caller, requestId });

/** Creates the origins; none is on record. */
export const createStreamOrigins = (deps: StreamOriginsDeps): StreamOrigins => {
  const { clock, registry, finder, listVersions, sendOrigin } = deps;

  const record = (subject: OriginSubject, binding: StreamBinding, left: Ms) => {
    const key = findKey(subject);
    if (key === undefined) return;
    const origin = { key, binding, left };
    registry.put(origin, clock.monotonic(), true);
    sendOrigin(origin);
  };
  const findOrigin = async (key: StreamKey | undefined): Promise<FoundOrigin> =>
    key === undefined
      ? { kind: "not_known", answered: deps.countConnected() }
      : finder.find(key);

  return {
    resolve: async (subject) => {
      const found = await findOrigin(findKey(subject));
      if (found.kind === "not_known") await deps.awaitVersions();
      return decideOrigin({
        found,
        service: subject.service,
        versions: listVersions(subject.service),
        isOutOfTouch: deps.isOutOfTouch(),
        boxes: deps.countBoxes(),
      });
    },
    recordBegun: (subject, binding) =>
      record(subject, binding, (subject.answerLimit + TAKE_UP_MARGIN_MS) as Ms),
    recordWhole: (subject, binding) => record(subject, binding, WHOLE_LEFT_MS),
    answer: ({ key }) => {
      const origin = registry.find(key, clock.monotonic());
      return origin ? { kind: "known", origin } : { kind: "not_known" };
    },
    applyShared: (origins) => {
      for (const origin of origins) registry.put(origin, clock.monotonic(), false);
    },
    listOwn: () => registry.listOwn(clock.monotonic()),
  };
};
