/** Requests under which backend servers ended, as boxes know and tell them. */
import type { Brand } from "@stairgauge/common";

/** What stays the same of a request that comes again under another id, at any box: a digest, so that no content is kept. */
export type RequestDigest = Brand<string, "RequestDigest">;
