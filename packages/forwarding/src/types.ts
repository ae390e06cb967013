/** Decoded requests of clients and answers of backend servers, and the codec that translates them. */
import type { Brand, Ms, WorkspaceName } from "@stairgauge/common";
import type { ServerAddress, ServerName } from "@stairgauge/directory";
import type { NamedOrigin } from "@stairgauge/origins";
import type { ServerSignals } from "@stairgauge/signals";

/** Id that a client chooses for a request; a client that retries chooses a new one. */
export type ClientRequestId = Brand<string, "ClientRequestId">;

/** Headers as a flat list (name, value, name, value), in their original order and spelling. */
export type RawHeaders = readonly string[];

/** Tokens of a generation as declared by the client: its prompt, and the largest output. */
export type TokenUsage = Readonly<{ prompt: number; maxOut: number }>;

/** Decoded head of a client's request. */
export type RequestHead = Readonly<{
  id: ClientRequestId | undefined;
  method: string;
  /** Path and query, unchanged. */
  target: string;
  host: string;
  /** How long the client waits for an answer, from when it sent the request; undefined if not stated. */
  patience: Ms | undefined;
  key: string | undefined;
  usage: TokenUsage | undefined;
  /** Ids of the parts of the prompt in order; the last one is the request's own. Empty if the client names none. */
  promptParts: readonly string[];
  /** The client's estimate of the output tokens, often far off; undefined if not stated. */
  lengthEstimate: number | undefined;
  /** Id of the last event that the client received of a stream that it resumes. */
  lastEventId: string | undefined;
  /** The request that brought the first event of the stream that the client resumes. */
  resumes: NamedOrigin;
  contentLength: number | undefined;
  /** The headers that are forwarded to the server: all but those that the box sets itself. */
  forwardedHeaders: RawHeaders;
}>;

/** Where another server fetches the memory (KV cache) of a run that it continues. */
export type RunMemory = Readonly<{
  /** The server that built the memory. */
  source: ServerAddress;
  /** Identifies the copy of the memory. */
  handle: string;
}>;

/** What the box adds to the client's headers when it sends a request to a server. */
export type DispatchTerms = Readonly<{
  server: ServerName;
  timeLeft: Ms;
  workspace: WorkspaceName | undefined;
  bodyLength: number | undefined;
  /** Priority at an engine, 0 is the highest; undefined for requests that are no generation. */
  enginePriority: number | undefined;
  /**
   * Set when a started stream continues at this server: the id of the last complete event that the
   * client has, and the memory to continue from (undefined for a new run).
   */
  continuation:
    | Readonly<{ lastEventId: string | undefined; memory: RunMemory | undefined }>
    | undefined;
}>;

/** Decoded head of a server's answer. */
export type AnswerHead = Readonly<{
  status: number;
  /** Id of the answered request, as echoed by the server; undefined if it echoes none. */
  requestId: ClientRequestId | undefined;
  /** Whether the head carries a response signature. */
  isSigned: boolean;
  /** The server states that it did not run the request and never will. */
  isNotRun: boolean;
  /** The address belongs to another server now, which rejects requests for the previous one. */
  isOtherServer: boolean;
  /** Name of the answering server; undefined if the head does not state it. */
  server: ServerName | undefined;
  /** When the answering server's process started; undefined if the head does not state it. */
  startedAt: Ms | undefined;
  /** Signals about the server itself: limit, backoff, warm-up, leaving. */
  signals: ServerSignals;
  /** The body has a content encoding. Servers send none, so something else changed the body. */
  isEncoded: boolean;
  /** Length of the body in bytes, if the head states it. */
  contentLength: number | undefined;
  /** The answer has neither a length nor chunks: its body ends when the connection closes. */
  isUnframed: boolean;
  isEventStream: boolean;
  /** The headers that are forwarded to the client; a requested backoff is left out, as it concerns only this box. */
  forwardedHeaders: RawHeaders;
}>;

/** A final answer that the box generates itself. */
export type OwnAnswer = Readonly<{
  status: number;
  /** Delay before the client should retry; set only if the request has not run. */
  retryAfter: Ms | undefined;
}>;

/** Translates heads between the wire format and the types above; it makes no decisions. */
export type HeadCodec = Readonly<{
  decodeRequest: (
    request: Readonly<{ method: string; target: string; headers: RawHeaders }>,
  ) => RequestHead;
  encodeDispatch: (head: RequestHead, terms: DispatchTerms) => string[];
  /** Encodes the headers of a health check; a different server at the address rejects it. */
  encodeHealthCall: (
    server: Readonly<{ name: ServerName; address: ServerAddress }>,
  ) => string[];
  /** Reads from the body of a health answer when the server started; undefined if it does not state it. */
  decodeHealthBody: (body: Buffer) => Ms | undefined;
  decodeAnswer: (status: number, headers: RawHeaders) => AnswerHead;
  /** Encodes the headers that tell a client when to retry. */
  encodeRetryAfter: (pause: Ms) => RawHeaders;
  encodeOwnAnswer: (head: RequestHead, answer: OwnAnswer) => string[];
}>;

/** Why an exchange with a server returned no complete answer. */
export type ExchangeFailure = Readonly<
  /** No connection was established: nothing was sent. */
  | { kind: "unreachable"; detail: string }
  /** The call could not be made: nothing was sent, and nothing follows for the server or the path to it. */
  | { kind: "unsendable"; detail: string }
  /** The connection broke; the server may have received the request. */
  | { kind: "broken"; detail: string }
  /** The server sent bytes that are no valid answer. */
  | { kind: "malformed"; detail: string }
  /** The link to the box that carried the request broke; the server may have received the request. */
  | { kind: "carrier_lost"; detail: string }
>;
