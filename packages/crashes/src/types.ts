/** Types for requests under which backend servers crashed, as boxes record and share them. */
import type { Brand, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** Identifies a request that is sent again under another id, at any box. A digest, so that no content is kept. */
export type RequestDigest = Brand<string, "RequestDigest">;

/** A part of a prompt as what may have caused a crash; other requests may hold it as well. */
export type PartSuspect = Readonly<{
  kind: "prompt_part";
  digest: RequestDigest;
  part: string;
}>;

/** What may have caused a crash. The digest identifies it among suspects of all kinds. */
export type Suspect =
  /** The request as a whole, by its content. */
  Readonly<{ kind: "request"; digest: RequestDigest }> | PartSuspect;

/** A crash of a server while it ran a request with this suspect. */
export type ServerCrash = Readonly<{
  digest: RequestDigest;
  server: ServerId;
  /** Id of the part, if the suspect is a part of a prompt. */
  part?: string | undefined;
  /** By the monotonic clock of the box that has it on record. */
  at: Ms;
}>;

/** A crash as boxes share it. It carries an age, since boxes have different monotonic clocks. */
export type SharedCrash = Omit<ServerCrash, "at"> & Readonly<{ age: Ms }>;

/** Crashes, and suspects that are cleared, as one box sends them to others. */
export type CrashUpdate = Readonly<{
  ends: readonly SharedCrash[];
  /** Suspects that a server has since survived, so they did not cause the crashes. */
  served: readonly RequestDigest[];
}>;

/** Whether a request may be sent to servers; `ends` is the number of crashes. */
export type RequestStatus = Readonly<
  /** No server is on record as having crashed under the request. */
  | { kind: "unsuspected" }
  /** It may have been running by chance: it is still sent to servers, but not retried by the box after two crashes. */
  | { kind: "suspected"; ends: number }
  /** It is sent to no server for the time `left`. */
  | { kind: "blocked"; ends: number; left: Ms }
>;
