/** What may have caused the crash of a server: a whole request, or a part of its prompt. Pure. */
import { createHash } from "node:crypto";
import type { ServiceName } from "@stairgauge/common";
import { hashRequest, toDigest, type RequestContent } from "./hashRequest.js";
import type { PartSuspect, RequestDigest, Suspect } from "./types.js";

/** Parts beyond this are no suspects, so that a long list costs no more than a few microseconds. */
const MAX_SUSPECT_PARTS = 32;

/** Identifies a part of a prompt. A part crashes servers of one service, whatever else a request holds and whose it is. */
export const hashPart = (service: ServiceName, part: string): RequestDigest =>
  toDigest(createHash("sha256").update(JSON.stringify(["prompt part", service, part])));

/** The service that runs a request, and the ids of the parts of its prompt in order. */
export type PromptContent = Readonly<{ service: ServiceName; parts: readonly string[] }>;

/** A request with its prompt. */
export type SuspectContent = RequestContent & PromptContent;

/** Lists the suspects in a prompt. The last part is the request's or its session's own, so it is none. */
export const listPartSuspects = ({
  service,
  parts,
}: PromptContent): readonly PartSuspect[] =>
  [...new Set(parts.slice(0, -1))].slice(0, MAX_SUSPECT_PARTS).map((part) => ({
    kind: "prompt_part",
    digest: hashPart(service, part),
    part,
  }));

/** Lists all suspects in a request; the first one is the whole request. */
export const listSuspects = (
  content: SuspectContent,
): readonly [Suspect, ...PartSuspect[]] => [
  { kind: "request", digest: hashRequest(content) },
  ...listPartSuspects(content),
];
