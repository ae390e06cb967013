/** Test helpers: calls between boxes as raw HTTP/2 frames, in latin1. */

const FRAME = { data: 0, headers: 1, reset: 3, settings: 4, ping: 6 } as const;
export const END_STREAM = 1;
const END_HEADERS = 4;

/** Formats an HTTP/2 frame (RFC 9113, section 4.1). */
export const formatFrame = (
  type: keyof typeof FRAME,
  { flags = 0, stream = 0, payload = "" },
): string => {
  const head = Buffer.alloc(9);
  head.writeUIntBE(payload.length, 0, 3);
  head.writeUInt8(FRAME[type], 3);
  head.writeUInt8(flags, 4);
  head.writeUInt32BE(stream, 5);
  return head.toString("latin1") + payload;
};

/** Settings by which nothing of an answer may be sent: an initial window of 0 (RFC 9113, section 6.5.2). */
const NO_WINDOW = "\0\x04\0\0\0\0";

const MAGIC = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/** Begins a connection. */
export const OPEN_PREFACE = MAGIC + formatFrame("settings", {});

/** Begins a connection on which nothing of an answer may be sent. */
export const PREFACE = MAGIC + formatFrame("settings", { payload: NO_WINDOW });

const formatText = (text: string) => String.fromCharCode(text.length) + text;

/** Formats the head of a gRPC call: indexed and literal fields (RFC 7541). */
export const formatCallHead = (path: string, stream: number): string => {
  const fields = [
    "\x83\x86",
    `\x04${formatText(path)}`,
    `\x01${formatText("box")}`,
    `\x0f\x10${formatText("application/grpc")}`,
    `\0${formatText("te")}${formatText("trailers")}`,
  ];
  return formatFrame("headers", {
    flags: END_HEADERS,
    stream,
    payload: fields.join(""),
  });
};

/** Formats a message in one frame. */
export const formatMessage = (value: unknown, stream: number, flags = 0): string => {
  const text = JSON.stringify(value);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(text.length, 1);
  return formatFrame("data", {
    flags,
    stream,
    payload: head.toString("latin1") + text,
  });
};
