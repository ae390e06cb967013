/**
 * Blocks requests that crash servers. Several boxes each see some of a request's crashes, so each box shares its own and counts
 * those of all boxes. Crashes are shared over the links between boxes. Blocked requests are also listed in the store, since boxes
 * persist nothing and may all restart.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { MIN_SHARED_CRASHES } from "./constants.js";
import { createCrashRegistry, type CrashLimits } from "./crashRegistry.js";
import type {
  CrashUpdate,
  RequestDigest,
  ServerCrash,
  RequestStatus,
  SharedCrash,
} from "./types.js";

/** A request that has just been blocked. */
export type BlockedRequest = Readonly<{
  digest: RequestDigest;
  ends: readonly SharedCrash[];
  left: Ms;
  /** Whether this box saw the crash that led to the block. */
  isOwn: boolean;
}>;

/** The settings and the callbacks for changes. */
export type RequestGuardOptions = Readonly<{
  clock: Clock;
  limits: CrashLimits;
  /** This box has seen a crash, or a request completed. The update is to be sent to other boxes. */
  onOwnUpdate: (update: CrashUpdate) => void;
  /**
   * The crashes on record of requests with several crashes have changed, whichever box saw the cause. Boxes that are linked only to
   * this one need no other updates. Requests with a single crash are left out.
   */
  onSharedUpdate: (update: CrashUpdate) => void;
  onBlocked: (blocked: BlockedRequest) => void;
  /** A request is no longer blocked: a server of this box completed it (`isOwn`), or another box or an operator released it. */
  onReleased: (digest: RequestDigest, isOwn: boolean) => void;
}>;

/** A crash that this box has seen, of a server that the request may have crashed. */
export type ObservedCrash = Pick<ServerCrash, "digest" | "server">;

/** Records crashes and decides which requests are blocked, for one box. */
export type RequestGuard = Readonly<{
  /**
   * Returns the status of a request. Computes its digest only if any request is suspected. `unconfirmed` are servers that broke
   * off and may have crashed.
   */
  getStatus: (
    getDigest: () => RequestDigest,
    unconfirmed?: ReadonlySet<ServerId>,
  ) => RequestStatus;
  /** Records that a server crashed under a request of this box. */
  recordCrash: (observed: ObservedCrash) => void;
  /** Records that a server completed a request of this box. */
  recordServed: (getDigest: () => RequestDigest) => void;
  /** Applies an update from another box or from the store. */
  applyUpdate: (update: CrashUpdate) => void;
  /** Releases a request on behalf of an operator. */
  release: (digest: RequestDigest) => void;
  /** Lists all crashes on record, for a box that counts the crashes of all boxes. */
  makeFullUpdate: () => CrashUpdate;
  /** Lists the crashes of requests with several of them, for a box that otherwise counts its own only. */
  makeSharedUpdate: () => CrashUpdate;
  countBlocked: () => number;
}>;

/** Creates a guard without crashes on record. */
export const createRequestGuard = (options: RequestGuardOptions): RequestGuard => {
  const { clock, limits, onOwnUpdate, onSharedUpdate, onBlocked, onReleased } = options;
  const registry = createCrashRegistry(limits);
  const getNow = () => clock.monotonic();
  const isBlocked = (digest: RequestDigest) =>
    registry.getStatus(digest, getNow()).kind === "blocked";

  const toShared = ({ digest, server, at }: ServerCrash): SharedCrash => ({
    digest,
    server,
    age: Math.max(0, getNow() - at) as Ms,
  });
  const listCrashes = (digest: RequestDigest) =>
    registry.listCrashes(digest).map(toShared);

  const add = (crash: ServerCrash, isOwn: boolean): boolean => {
    const { digest } = crash;
    const wasBlocked = isBlocked(digest);
    if (!registry.add(crash, getNow())) return false;
    const status = registry.getStatus(digest, getNow());
    if (!wasBlocked && status.kind === "blocked")
      onBlocked({ digest, ends: listCrashes(digest), left: status.left, isOwn });
    return true;
  };
  const release = (digest: RequestDigest, isOwn: boolean): boolean => {
    const wasBlocked = isBlocked(digest);
    if (!registry.release(digest, getNow())) return false;
    if (wasBlocked) onReleased(digest, isOwn);
    return true;
  };
  const isShared = (digest: RequestDigest) =>
    registry.listCrashes(digest).length >= MIN_SHARED_CRASHES;
  const listSharedCrashes = (digests: Iterable<RequestDigest>) =>
    [...digests].filter(isShared).flatMap(listCrashes);
  const sendShared = (update: CrashUpdate) => {
    if (update.ends.length + update.served.length > 0) onSharedUpdate(update);
  };

  return {
    getStatus: (getDigest, unconfirmed) => {
      const isAnySuspected = !registry.isEmpty(getNow()) || (unconfirmed?.size ?? 0) > 0;
      return isAnySuspected
        ? registry.getStatus(getDigest(), getNow(), unconfirmed)
        : { kind: "unsuspected" };
    },
    recordCrash: ({ digest, server }) => {
      const crash = { digest, server, at: getNow() };
      if (!add(crash, true)) return;
      onOwnUpdate({ ends: [toShared(crash)], served: [] });
      sendShared({ ends: listSharedCrashes([digest]), served: [] });
    },
    recordServed: (getDigest) => {
      if (registry.isEmpty(getNow())) return;
      const digest = getDigest();
      const wasShared = isShared(digest);
      if (!release(digest, true)) return;
      const update = { ends: [], served: [digest] };
      onOwnUpdate(update);
      if (wasShared) sendShared(update);
    },
    applyUpdate: ({ ends, served }) => {
      const sharedBefore = new Set(served.filter(isShared));
      const released = served.filter((digest) => release(digest, false));
      const added = ends.filter(({ digest, server, age }) =>
        add({ digest, server, at: (getNow() - age) as Ms }, false),
      );
      sendShared({
        ends: listSharedCrashes(new Set(added.map(({ digest }) => digest))),
        served: released.filter((digest) => sharedBefore.has(digest)),
      });
    },
    release: (digest) => void release(digest, false),
    makeFullUpdate: () => ({
      ends: registry.listRequests().flatMap(listCrashes),
      served: [],
    }),
    makeSharedUpdate: () => ({
      ends: listSharedCrashes(registry.listRequests()),
      served: [],
    }),
    countBlocked: () => registry.listRequests().filter(isBlocked).length,
  };
};
