/** Types for the origins of streams: which software began a stream that its client may take up at any box. */
import type { Brand, Ms } from "@stairgauge/common";
import type { StreamBinding } from "@stairgauge/placement";

/**
 * Identifies a stream by the client's request that brought its first event, among those of one caller. A digest: it
 * tells nothing to whoever does not know the caller and the request.
 */
export type StreamKey = Brand<string, "StreamKey">;

/** What a stream is bound to, as boxes share it. */
export type SharedOrigin = Readonly<{
  key: StreamKey;
  binding: StreamBinding;
  /** Time for which the stream may still be taken up. */
  left: Ms;
}>;

/** A question to another box about a stream that a client takes up. */
export type OriginQuestion = Readonly<{ key: StreamKey }>;

/** The answer to such a question. */
export type OriginAnswer = Readonly<
  { kind: "known"; origin: SharedOrigin } | { kind: "not_known" }
>;

/** What a client names as the beginning of the stream that it takes up. */
export type NamedOrigin = Readonly<
  /** It names one request. */
  | { kind: "named"; id: string }
  /** It names none, or what it names can be no request's id. */
  | { kind: "unnamed" }
>;
