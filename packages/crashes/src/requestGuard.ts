/**
 * Blocks requests that crash servers. Several boxes each see some of a request's crashes, so each box shares its own and counts
 * those of all boxes. Crashes are shared over the links between boxes. Blocked requests are also listed in the store, since boxes
 * persist nothing and may all restart.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { MIN_SHARED_CRASHES } from "./constants.js";
import { createCrashRegistry, type CrashLimits } from "./crashRegistry.js";
import { createHarmlessParts } from "./harmlessParts.js";
import { createSuspectJudge, type FoundBlock } from "./suspectJudge.js";
import type {
  CrashUpdate,
  PartSuspect,
  RequestDigest,
  ServerCrash,
  RequestStatus,
  SharedCrash,
  Suspect,
} from "./types.js";

/** A request, or a part of prompts, that has just been blocked. */
export type BlockedRequest = Readonly<{
  digest: RequestDigest;
  /** Id of the part, if a part is blocked. */
  part?: string | undefined;
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

/** A crash that this box has seen, of a server that the suspect may have crashed. */
export type ObservedCrash = Pick<ServerCrash, "digest" | "server" | "part">;

/** Parts of a prompt that a server has survived: it has written an answer on them, and goes on. */
export type Survived = Readonly<{
  parts: readonly PartSuspect[];
  server: ServerId;
  /** When the request was sent, by the monotonic clock. Earlier crashes had another cause. */
  begunAt: Ms;
}>;

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
  /** Finds out whether a request is blocked for any of its suspects. */
  findBlock: (getSuspects: () => readonly Suspect[]) => FoundBlock | undefined;
  /**
   * Whether a request may be sent to another server within its try. `broken` are servers that broke it off and are not
   * known to be alive.
   */
  mayResend: (
    getSuspects: () => readonly Suspect[],
    broken: ReadonlySet<ServerId>,
  ) => boolean;
  /** Records that a server has survived the parts of a prompt. */
  recordSurvived: (survived: Survived) => void;
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
  const harmless = createHarmlessParts();
  /** Digests that were blocked when last looked at. */
  const blocked = new Set<RequestDigest>();
  const getNow = () => clock.monotonic();

  const judge = createSuspectJudge({
    clock,
    limits,
    registry,
    harmless,
    listBlocked: () => [...blocked],
  });
  const { getStatus } = judge;
  const isBlocked = (digest: RequestDigest) => getStatus(digest).kind === "blocked";

  const toShared = ({ digest, server, part, at }: ServerCrash): SharedCrash => ({
    digest,
    server,
    ...(part !== undefined && { part }),
    age: Math.max(0, getNow() - at) as Ms,
  });
  const listCrashes = (digest: RequestDigest) =>
    registry.listCrashes(digest).map(toShared);

  const add = (crash: ServerCrash, isOwn: boolean): boolean => {
    const { digest, part } = crash;
    const wasBlocked = isBlocked(digest);
    if (!registry.add(crash, getNow())) return false;
    const status = getStatus(digest);
    if (status.kind !== "blocked") return true;
    blocked.add(digest);
    if (!wasBlocked)
      onBlocked({ digest, part, ends: listCrashes(digest), left: status.left, isOwn });
    return true;
  };
  const release = (digest: RequestDigest, isOwn: boolean): boolean => {
    const wasBlocked = isBlocked(digest);
    blocked.delete(digest);
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

  const recordServed = (digest: RequestDigest) => {
    const wasShared = isShared(digest);
    if (!release(digest, true)) return;
    const update = { ends: [], served: [digest] };
    onOwnUpdate(update);
    if (wasShared) sendShared(update);
  };
  const isAfterCrashes = (digest: RequestDigest, begunAt: Ms): boolean => {
    const crashes = registry.listCrashes(digest);
    return crashes.length > 0 && crashes.every(({ at }) => at < begunAt);
  };
  const isSurvived = ({ digest, server, part }: ObservedCrash): boolean =>
    part !== undefined && harmless.has(server, digest);
  const dropExpiredBlocks = () => {
    for (const digest of blocked) if (!isBlocked(digest)) blocked.delete(digest);
  };

  return {
    getStatus: (getDigest, unconfirmed) => {
      const isAnySuspected = !registry.isEmpty(getNow()) || (unconfirmed?.size ?? 0) > 0;
      return isAnySuspected
        ? getStatus(getDigest(), unconfirmed)
        : { kind: "unsuspected" };
    },
    findBlock: (getSuspects) => {
      if (blocked.size === 0) return undefined;
      dropExpiredBlocks();
      return judge.findBlock(getSuspects());
    },
    mayResend: (getSuspects, broken) => {
      if (registry.isEmpty(getNow()) && broken.size === 0) return true;
      return judge.mayResend(getSuspects(), broken);
    },
    recordSurvived: ({ parts, server, begunAt }) => {
      for (const { digest } of parts) {
        harmless.add(server, digest, getNow());
        if (isAfterCrashes(digest, begunAt)) recordServed(digest);
      }
    },
    recordCrash: ({ digest, server, part }) => {
      if (isSurvived({ digest, server, part })) return;
      const crash = { digest, server, part, at: getNow() };
      if (!add(crash, true)) return;
      onOwnUpdate({ ends: [toShared(crash)], served: [] });
      sendShared({ ends: listSharedCrashes([digest]), served: [] });
    },
    recordServed: (getDigest) => {
      if (registry.isEmpty(getNow())) return;
      recordServed(getDigest());
    },
    applyUpdate: ({ ends: received, served }) => {
      const ends = received.filter((end) => !isSurvived(end));
      // The other boxes have no proof that the server survived the part.
      const cleared = new Set(received.filter(isSurvived).map(({ digest }) => digest));
      if (cleared.size > 0) onOwnUpdate({ ends: [], served: [...cleared] });
      const sharedBefore = new Set(served.filter(isShared));
      const released = served.filter((digest) => release(digest, false));
      const added = ends.filter(({ age, ...end }) =>
        add({ ...end, at: (getNow() - age) as Ms }, false),
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
