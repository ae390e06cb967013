/** Computes the key of a stream. Pure. */
import { createHash } from "node:crypto";
import type { StreamKey } from "./types.js";

/** 128 bits. */
const KEY_BYTES = 16;

/** The caller, and the request that brought the stream's first event. */
export type StreamIdentity = Readonly<{
  host: string;
  /** The workspace whose key the request carries; undefined if the route needs no key. */
  caller: string | undefined;
  requestId: string;
}>;

/** Computes the key. */
export const hashStreamKey = ({ host, caller, requestId }: StreamIdentity): StreamKey =>
  createHash("sha256")
    .update(JSON.stringify([host, caller ?? null, requestId]))
    .digest()
    .subarray(0, KEY_BYTES)
    .toString("base64url") as StreamKey;
