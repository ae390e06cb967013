/**
 * Checks that the head of a server's answer can be passed on. The parser lets statuses, reason phrases and header
 * values through that HTTP doesn't have or that can't be written as the head of another answer. Pure.
 */
import type { RawHeaders } from "./types.js";

/** Statuses of final answers; HTTP has no others (RFC 9110, section 15), but the parser lets any of three digits through. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** Tabs and printable characters of one byte. */
const TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** A head as it was received. */
export type ReceivedHead = Readonly<{
  status: number;
  reason: string;
  headers: RawHeaders;
}>;

/** What is wrong with a head. */
export type HeadFault = Readonly<
  | { kind: "status"; status: number }
  | { kind: "reason_phrase" }
  | { kind: "header_name"; index: number }
  | { kind: "header_value"; name: string }
>;

const findHeaderFault = (headers: RawHeaders): HeadFault | undefined => {
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!;
    if (!TOKEN.test(name)) return { kind: "header_name", index };
    if (!TEXT.test(headers[index + 1] ?? "")) return { kind: "header_value", name };
  }
  return undefined;
};

/** Returns the first fault of a head; undefined if it can be passed on. */
export const findHeadFault = ({
  status,
  reason,
  headers,
}: ReceivedHead): HeadFault | undefined => {
  const isStatus =
    Number.isInteger(status) && status >= MIN_STATUS && status <= MAX_STATUS;
  if (!isStatus) return { kind: "status", status };
  if (!TEXT.test(reason)) return { kind: "reason_phrase" };
  return findHeaderFault(headers);
};

/** Describes a fault, for log lines. */
export const describeHeadFault = (fault: HeadFault): string => {
  switch (fault.kind) {
    case "status":
      return `status ${fault.status}`;
    case "reason_phrase":
      return "invalid character in the reason phrase";
    case "header_name":
      return "invalid name of a header";
    case "header_value":
      return `invalid character in the header ${fault.name}`;
  }
};
