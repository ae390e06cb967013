/** What forwarding hands around: requests as clients sent them, answers as servers gave them. */
import type { Brand, Ms, WorkspaceName } from "@stairgauge/common";
import type { ServerAddress, ServerName } from "@stairgauge/directory";
import type { ServerSignals } from "@stairgauge/signals";

/** Identity of one try of a client, chosen by the client. */
export type ClientRequestId = Brand<string, "ClientRequestId">;

/** Headers as name, value, name, value, in the order and spelling in which they came. */
export type RawHeaders = readonly string[];

/** Tokens of a generation as its client declares them. */
export type TokenUsage = Readonly<{ prompt: number; mostOut: number }>;

/** A client's request head, decoded once at the edge. */
export type RequestHead = Readonly<{
  id: ClientRequestId | undefined;
  method: string;
  /** Path and query, byte for byte. */
  target: string;
  host: string;
  /** How long the client waits, counted from the request. */
  patience: Ms | undefined;
  key: string | undefined;
  usage: TokenUsage | undefined;
  /** The client's guess at the tokens that come out; often far off. */
  lengthGuess: number | undefined;
  /** Last event that the client has of a stream it takes up again. */
  lastEventId: string | undefined;
  contentLength: number | undefined;
  /** What a server gets of the headers: all but those that the system sets itself. */
  passedOn: RawHeaders;
}>;

/** Where the memory of a run lies that goes on at another server. */
export type RunMemory = Readonly<{
  /** The server that made the memory. */
  source: ServerAddress;
  /** Names the copy there. */
  handle: string;
}>;

/** What the system says to a server beside the client's own headers. */
export type DispatchTerms = Readonly<{
  server: ServerName;
  timeLeft: Ms;
  workspace: WorkspaceName | undefined;
  bodyLength: number | undefined;
  /** Rank at an engine, 0 first. */
  enginePriority: number | undefined;
  /** Set when a stream goes on: its last whole event, and the memory to go on from. */
  continuation:
    | Readonly<{ lastEventId: string | undefined; memory: RunMemory | undefined }>
    | undefined;
}>;

/** A server's answer head, decoded once at the edge. */
export type AnswerHead = Readonly<{
  status: number;
  /** The request that it answers, as the server echoes it. */
  requestId: ClientRequestId | undefined;
  /** Carries the server's signature. */
  isSigned: boolean;
  /** The server says that it did not run the request and never will. */
  isNotRun: boolean;
  /** Another server has the address now. */
  isOtherServer: boolean;
  /** The server that says that it answers, where it says so, and its start, the same. */
  server: ServerName | undefined;
  startedAt: Ms | undefined;
  /** What the server says of itself. */
  signs: ServerSignals;
  /** The body is encoded, so it is not the server's body. */
  isEncoded: boolean;
  /** Length of the body, when the head gives it. */
  contentLength: number | undefined;
  /** Neither a length nor chunks: the body ends with the connection. */
  isUnframed: boolean;
  isEventStream: boolean;
  /** What a client gets of the headers; not the time for which the server wants rest, which is said to this box. */
  passedOn: RawHeaders;
}>;

/** A final answer of the system's own. */
export type OwnAnswer = Readonly<{
  status: number;
  /** When to come back; given only where the request has not run. */
  retryAfter: Ms | undefined;
}>;

/** Translates heads between the wire and the types above; it decides nothing. */
export type HeadCodec = Readonly<{
  decodeRequest: (
    request: Readonly<{ method: string; target: string; headers: RawHeaders }>,
  ) => RequestHead;
  encodeDispatch: (head: RequestHead, terms: DispatchTerms) => string[];
  /** Headers of a call that asks a server whether it is well; any other server there says so. */
  encodeHealthCall: (
    server: Readonly<{ name: ServerName; address: ServerAddress }>,
  ) => string[];
  /** The server's start, where the body of its health answer tells it. */
  decodeHealthBody: (body: Buffer) => Ms | undefined;
  decodeAnswer: (status: number, headers: RawHeaders) => AnswerHead;
  /** Headers that tell a client when to come back. */
  encodeRetryAfter: (pause: Ms) => RawHeaders;
  encodeOwnAnswer: (head: RequestHead, answer: OwnAnswer) => string[];
}>;

/** Why an exchange with a server brought no whole answer. */
export type ExchangeFailure = Readonly<
  /** No connection came up: nothing was sent. */
  | { kind: "unreachable"; detail: string }
  /** The connection broke after the request may have reached the server. */
  | { kind: "broken"; detail: string }
  /** Bytes came that are no answer. */
  | { kind: "malformed"; detail: string }
>;
