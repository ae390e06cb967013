/**
 * Records the parts of prompts on which servers have written answers and gone on. A part that crashes servers crashes
 * each, so a server that once survived a part did not end for it. In bounded memory; the time is passed in.
 */
import { dropOldest, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { RequestDigest } from "./types.js";

/** What one box has seen. */
export type HarmlessParts = Readonly<{
  /** A server has written an answer on the part and goes on. */
  add: (server: ServerId, part: RequestDigest, now: Ms) => void;
  /** Whether this start of a server has survived the part. */
  has: (server: ServerId, part: RequestDigest) => boolean;
  /** Whether any server has survived the part lately. */
  isProven: (part: RequestDigest, now: Ms) => boolean;
}>;

/** The servers of a large site, and the parts that requests of one server share; each entry takes some 100 bytes. */
const MAX_SERVERS = 1_024;
const MAX_PARTS_PER_SERVER = 256;
const MAX_PARTS = 8_192;

/** A part that was survived longer ago may meet servers with other software. */
const PROOF_MEMORY_MS = 3_600_000;

/** Creates an empty record. */
export const createHarmlessParts = (): HarmlessParts => {
  const byServer = new Map<ServerId, Set<RequestDigest>>();
  const provenAt = new Map<RequestDigest, Ms>();

  return {
    add: (server, part, now) => {
      const parts = byServer.get(server) ?? new Set<RequestDigest>();
      byServer.delete(server);
      byServer.set(server, parts);
      parts.delete(part);
      parts.add(part);
      dropOldest(parts, MAX_PARTS_PER_SERVER);
      dropOldest(byServer, MAX_SERVERS);
      provenAt.delete(part);
      provenAt.set(part, now);
      dropOldest(provenAt, MAX_PARTS);
    },
    has: (server, part) => byServer.get(server)?.has(part) ?? false,
    isProven: (part, now) => now - (provenAt.get(part) ?? -Infinity) < PROOF_MEMORY_MS,
  };
};
