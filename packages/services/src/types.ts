/** Interface to plain services. */
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { LinkFailure } from "@stairgauge/outcomes";

/** A call to one server of a plain service. */
export type ServiceCall = Readonly<{
  /** Address of the server, as IP:PORT. */
  address: string;
  method: string;
  /** Path and query string. */
  path: string;
  headers: Readonly<Record<string, string | readonly string[]>>;
  body: Readable | Buffer | null;
}>;

/** Callbacks for a streamed answer. Either `onEnd` or `onFailure` is called last, once, unless the call is closed. */
export type ServiceSink = Readonly<{
  onHead: (status: number, headers: IncomingHttpHeaders) => void;
  /** Handles a part of the body. Returns false to pause reading until `resume` is called. */
  onData: (chunk: Buffer) => boolean;
  onEnd: () => void;
  onFailure: (failure: LinkFailure) => void;
}>;

/** An open call. */
export type ServiceExchange = Readonly<{
  /** Continues reading after `onData` returned false. */
  resume: () => void;
  /** Aborts the call. No callback is called afterwards. */
  close: () => void;
}>;

/** Client of plain services. */
export type ServiceClient = Readonly<{
  open: (call: ServiceCall, sink: ServiceSink) => ServiceExchange;
  close: () => Promise<void>;
}>;
