/** State of one attempt: a request that is sent to one server. */
import { assertNever, type BoxName, type Ms, type Timer } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { Demand } from "@stairgauge/placement";
import { createByteCollector, type ByteCollector } from "./byteCollector.js";
import type { ClientAnswer } from "./clientAnswer.js";
import type { EndedBy, Exchange } from "./openExchange.js";
import type { HeldBytes } from "./reclaimableMemory.js";
import type { StreamSegment } from "./streamRelay.js";
import type { AnswerHead, RawHeaders } from "./types.js";

/** How the body of an attempt's answer is delivered to the client. */
export type AttemptBody = Readonly<
  /** The body is collected until it is complete. */
  | { kind: "held"; bytes: ByteCollector }
  /** The body is too long to buffer; chunks are forwarded as they arrive. */
  | { kind: "passed_on" }
  /** Complete events are forwarded. */
  | { kind: "stream"; segment: StreamSegment }
>;

/** One attempt; changed only by the dispatch that created it and by the sink of its answer. */
export type Attempt = {
  readonly server: BackendServer;
  readonly openedAt: Ms;
  /** Requests known to be at the server when this one was sent, without it. */
  readonly requestsThere: number;
  exchange: Exchange | undefined;
  /** The box that carries the request; undefined if this box sends it itself. */
  carrier: BoxName | undefined;
  head: AnswerHead | undefined;
  /** When the head arrived; undefined until then. */
  answeredAt: Ms | undefined;
  /** Events of the stream that the client received before this attempt. */
  readonly eventsBefore: number;
  /** HTTP reason phrase of the answer; empty until its head arrives. */
  reason: string;
  /** What ended the answer; undefined until it has ended without an error. */
  endedBy: EndedBy | undefined;
  body: AttemptBody;
  heldBytes: number;
  /** Its part of the memory for answers that are held; undefined while it has held little. */
  heldMemory: HeldBytes | undefined;
  /** Limits the time of a body that is held; undefined if it has no limit of its own. */
  bodyTimer: Timer | undefined;
  /** Whether the body exceeded a limit of its own, so that its rest was not read. */
  isBodyDropped: boolean;
  /** Frees the server's slot. */
  readonly release: () => void;
  /** Watches for a server that sends no answer head; undefined if the attempt is not watched. */
  silenceWatch: Timer | undefined;
};

/** Creates an attempt that has not been sent. */
export const createAttempt = ({
  server,
  openedAt,
  requestsThere,
  eventsBefore,
  release,
}: Pick<
  Attempt,
  "server" | "openedAt" | "requestsThere" | "eventsBefore" | "release"
>): Attempt => ({
  server,
  openedAt,
  requestsThere,
  exchange: undefined,
  carrier: undefined,
  head: undefined,
  answeredAt: undefined,
  eventsBefore,
  reason: "",
  endedBy: undefined,
  body: { kind: "held", bytes: createByteCollector() },
  heldBytes: 0,
  heldMemory: undefined,
  bodyTimer: undefined,
  isBodyDropped: false,
  release,
  silenceWatch: undefined,
});

/** Bytes of an incomplete event that the server has started to send. */
export const countBytesLeft = ({ body }: Attempt): number =>
  body.kind === "stream" ? body.segment.countBytesLeft() : 0;

/** Whether anything of the answer's body has come: a whole event, if it is a stream. */
export const hasBodyBegun = ({ body, heldBytes }: Attempt): boolean => {
  switch (body.kind) {
    case "held":
      return heldBytes > 0;
    case "passed_on":
      return true;
    case "stream":
      return body.segment.hasEvents();
    default:
      return assertNever(body);
  }
};

const NOTHING = Buffer.alloc(0);

/** Sends the buffered answer unchanged, with additional headers of the box. */
export const sendHeldAnswer = (
  answer: Pick<ClientAnswer, "sendWhole">,
  { head, reason, body }: Attempt,
  ownHeaders: RawHeaders,
): void => {
  const { status, forwardedHeaders } = head!;
  const headers = [...forwardedHeaders, ...ownHeaders];
  const bytes = body.kind === "held" ? body.bytes.join() : NOTHING;
  answer.sendWhole({ status, reason, headers }, bytes);
};

/**
 * Whether the server is processing the request: a generation once its answer head has arrived, a plain
 * request as soon as it is sent.
 */
export const isProcessing = (
  { head }: Pick<Attempt, "head">,
  { tokens }: Pick<Demand, "tokens">,
): boolean => head !== undefined || tokens === undefined;
