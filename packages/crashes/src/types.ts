/** Requests under which backend servers ended, as boxes know and tell them. */
import type { Brand, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** What stays the same of a request that comes again under another id, at any box: a digest, so that no content is kept. */
export type RequestDigest = Brand<string, "RequestDigest">;

/** A server ended while it worked on a request. */
export type ServerCrash = Readonly<{
  digest: RequestDigest;
  server: ServerId;
  /** On the steady clock of the box that keeps it. */
  at: Ms;
}>;

/** The same as one box tells it to another, whose steady clock is another one. */
export type SharedCrash = Readonly<{ digest: RequestDigest; server: ServerId; age: Ms }>;

/** What one box tells others of such requests. */
export type CrashUpdate = Readonly<{
  ends: readonly SharedCrash[];
  /** Requests that a server has served since: it was not they that ended the servers. */
  served: readonly RequestDigest[];
}>;

/** How a request stands. */
export type RequestStatus = Readonly<
  /** No server is known to have ended under it. */
  | { kind: "unsuspected" }
  /** It may have been aboard by chance: it is served, but not sent on by the box itself once two servers have ended. */
  | { kind: "suspected"; ends: number }
  /** It goes to no server. */
  | { kind: "blocked"; ends: number; left: Ms }
>;
