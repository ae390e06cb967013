/**
 * Keeps requests that end servers from further ones. The ends of one request are seen by several boxes, so each tells its own and
 * counts those of all. Evidence travels over the links between boxes; what is blocked is listed in the store as well, since boxes
 * keep nothing and may all be restarted.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { SHARED_ENDS } from "./constants.js";
import { createCrashRegistry, type CrashLimits } from "./crashRegistry.js";
import type {
  CrashUpdate,
  RequestDigest,
  ServerCrash,
  RequestStatus,
  SharedCrash,
} from "./types.js";

/** A request that goes to no server from now on. */
export type BlockedRequest = Readonly<{
  digest: RequestDigest;
  ends: readonly SharedCrash[];
  left: Ms;
  /** Whether this box saw the end that decided it. */
  isOwn: boolean;
}>;

/** Who hears of changes. */
export type RequestGuardOptions = Readonly<{
  clock: Clock;
  limits: CrashLimits;
  /** This box has seen an end, or a request served: other boxes are to hear it. */
  onOwnUpdate: (news: CrashUpdate) => void;
  /**
   * What is known of some requests has changed, whoever said so: all that boxes which hear this one alone need. A single end
   * is no news to them.
   */
  onSharedUpdate: (news: CrashUpdate) => void;
  onBlocked: (blocked: BlockedRequest) => void;
  /** A request is trusted again: a server has served it, or an operator says so. */
  onReleased: (digest: RequestDigest, isOwn: boolean) => void;
}>;

/** An end that this box has seen, of a server that the request may have ended. */
export type ObservedCrash = Pick<ServerCrash, "digest" | "server">;

/** The guard of one box. */
export type RequestGuard = Readonly<{
  /** Judges a request; its digest is asked for only where any request is suspected. */
  getStatus: (
    getDigest: () => RequestDigest,
    besides?: ReadonlySet<ServerId>,
  ) => RequestStatus;
  /** A server has ended under a request of this box. */
  recordCrash: (seen: ObservedCrash) => void;
  /** A server has served a request of this box to a good end. */
  recordServed: (getDigest: () => RequestDigest) => void;
  /** Another box, or the store, tells. */
  applyUpdate: (news: CrashUpdate) => void;
  /** An operator trusts a request again. */
  release: (digest: RequestDigest) => void;
  /** All that is known, for a box that counts the ends of all. */
  makeFullUpdate: () => CrashUpdate;
  /** What is known of requests with several ends, for a box that counts its own alone. */
  makeSharedUpdate: () => CrashUpdate;
  countBlocked: () => number;
}>;

/** Creates a guard that suspects nothing. */
export const createRequestGuard = (options: RequestGuardOptions): RequestGuard => {
  const { clock, limits, onOwnUpdate, onSharedUpdate, onBlocked, onReleased } = options;
  const book = createCrashRegistry(limits);
  const getNow = () => clock.monotonic();
  const isBlocked = (digest: RequestDigest) =>
    book.getStatus(digest, getNow()).kind === "blocked";

  const toTold = ({ digest, server, at }: ServerCrash): SharedCrash => ({
    digest,
    server,
    age: Math.max(0, getNow() - at) as Ms,
  });
  const listTold = (digest: RequestDigest) => book.listEnds(digest).map(toTold);

  const add = (end: ServerCrash, isOwn: boolean): boolean => {
    const { digest } = end;
    const wasBlocked = isBlocked(digest);
    if (!book.add(end, getNow())) return false;
    const standing = book.getStatus(digest, getNow());
    if (!wasBlocked && standing.kind === "blocked")
      onBlocked({ digest, ends: listTold(digest), left: standing.left, isOwn });
    return true;
  };
  const release = (digest: RequestDigest, isOwn: boolean): boolean => {
    const wasBlocked = isBlocked(digest);
    if (!book.release(digest, getNow())) return false;
    if (wasBlocked) onReleased(digest, isOwn);
    return true;
  };
  const isShared = (digest: RequestDigest) => book.listEnds(digest).length >= SHARED_ENDS;
  const listShared = (digests: Iterable<RequestDigest>) =>
    [...digests].filter(isShared).flatMap(listTold);
  const tellShared = (news: CrashUpdate) => {
    if (news.ends.length + news.served.length > 0) onSharedUpdate(news);
  };

  return {
    getStatus: (getDigest, besides) => {
      const isKnown = !book.isEmpty(getNow()) || (besides?.size ?? 0) > 0;
      return isKnown
        ? book.getStatus(getDigest(), getNow(), besides)
        : { kind: "unsuspected" };
    },
    recordCrash: ({ digest, server }) => {
      const end = { digest, server, at: getNow() };
      if (!add(end, true)) return;
      onOwnUpdate({ ends: [toTold(end)], served: [] });
      tellShared({ ends: listShared([digest]), served: [] });
    },
    recordServed: (getDigest) => {
      if (book.isEmpty(getNow())) return;
      const digest = getDigest();
      const wasShared = isShared(digest);
      if (!release(digest, true)) return;
      const news = { ends: [], served: [digest] };
      onOwnUpdate(news);
      if (wasShared) tellShared(news);
    },
    applyUpdate: ({ ends, served }) => {
      const sharedBefore = new Set(served.filter(isShared));
      const released = served.filter((digest) => release(digest, false));
      const added = ends.filter(({ digest, server, age }) =>
        add({ digest, server, at: (getNow() - age) as Ms }, false),
      );
      tellShared({
        ends: listShared(new Set(added.map(({ digest }) => digest))),
        served: released.filter((digest) => sharedBefore.has(digest)),
      });
    },
    release: (digest) => void release(digest, false),
    makeFullUpdate: () => ({ ends: book.listRequests().flatMap(listTold), served: [] }),
    makeSharedUpdate: () => ({ ends: listShared(book.listRequests()), served: [] }),
    countBlocked: () => book.listRequests().filter(isBlocked).length,
  };
};
