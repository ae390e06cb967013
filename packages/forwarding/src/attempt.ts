/** One attempt of a request at one server, as far as it has come. */
import type { Ms, Timer } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { Demand } from "@stairgauge/placement";
import type { ClientAnswer } from "./clientAnswer.js";
import type { EndedBy, Exchange } from "./openExchange.js";
import type { StreamSegment } from "./streamRelay.js";
import type { AnswerHead, RawHeaders } from "./types.js";

/** Where the body of an attempt's answer goes; nothing of it reaches the client by another way. */
export type AttemptBody = Readonly<
  /** It is held back until it is whole; `parts` grows. */
  | { kind: "held"; parts: Buffer[] }
  /** It is too long to be held and goes out as it comes. */
  | { kind: "passed_on" }
  /** Whole events go out. */
  | { kind: "stream"; leg: StreamSegment }
>;

/** The attempt's state; only the dispatch that made it changes it. */
export type Attempt = {
  readonly server: BackendServer;
  readonly openedAt: Ms;
  exchange: Exchange | undefined;
  head: AnswerHead | undefined;
  /** When the head came. */
  answeredAt: Ms | undefined;
  /** Events that the client had before. */
  readonly eventsBefore: number;
  reason: string;
  /** What ended the answer, once it has ended without an error. */
  endedBy: EndedBy | undefined;
  body: AttemptBody;
  heldBytes: number;
  /** Gives its place at the server back. */
  readonly release: () => void;
  /** Runs until the server answers. */
  silence: Timer | undefined;
};

/** Creates an attempt that has not been sent. */
export const createAttempt = ({
  server,
  openedAt,
  eventsBefore,
  release,
}: Pick<Attempt, "server" | "openedAt" | "eventsBefore" | "release">): Attempt => ({
  server,
  openedAt,
  exchange: undefined,
  head: undefined,
  answeredAt: undefined,
  eventsBefore,
  reason: "",
  endedBy: undefined,
  body: { kind: "held", parts: [] },
  heldBytes: 0,
  release,
  silence: undefined,
});

/** Bytes of an event that the attempt's server has begun and not ended. */
export const countBytesLeft = ({ body }: Attempt): number =>
  body.kind === "stream" ? body.leg.countBytesLeft() : 0;

/** Sends the answer that was held back, as its server gave it, with headers of the system's own. */
export const sendHeldAnswer = (
  answer: Pick<ClientAnswer, "sendWhole">,
  { head, reason, body }: Attempt,
  own: RawHeaders,
): void => {
  const { status, passedOn } = head!;
  const headers = [...passedOn, ...own];
  const parts = body.kind === "held" ? body.parts : [];
  answer.sendWhole({ status, reason, headers }, Buffer.concat(parts));
};

/** Whether its server works on the request: on a generation once it answers, on a plain request as soon as it is sent. */
export const isAtWork = (
  { head }: Pick<Attempt, "head">,
  { tokens }: Pick<Demand, "tokens">,
): boolean => head !== undefined || tokens === undefined;
