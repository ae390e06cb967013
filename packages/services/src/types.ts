/** Plain services as the rest of the system sees them. */
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { LinkFailure } from "@stairgauge/outcomes";

/** A call to one server of a plain service. */
export type ServiceCall = Readonly<{
  /** IP:PORT. */
  address: string;
  method: string;
  /** Path and query on the server. */
  path: string;
  headers: Readonly<Record<string, string | readonly string[]>>;
  body: Readable | Buffer | null;
}>;

/** Receives an answer as it comes. Exactly one of `onEnd` and `onFailure` comes last. */
export type ServiceSink = Readonly<{
  onHead: (status: number, headers: IncomingHttpHeaders) => void;
  /** Takes bytes; false asks to stop until `resume`. */
  onData: (chunk: Buffer) => boolean;
  onEnd: () => void;
  onFailure: (failure: LinkFailure) => void;
}>;

/** An open call. */
export type ServiceExchange = Readonly<{
  resume: () => void;
  close: () => void;
}>;

/** Client of plain services. */
export type ServiceClient = Readonly<{
  open: (call: ServiceCall, sink: ServiceSink) => ServiceExchange;
  close: () => Promise<void>;
}>;
