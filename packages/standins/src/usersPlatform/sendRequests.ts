/** Sends requests to a box, as clients of the stand-in site do. */
import { request } from "node:http";
import { HEADER } from "@stairgauge/platform";
import { LOOPBACK } from "./reservePort.js";
import { SITE_HOST, SITE_KEY } from "./usersSite.js";

const SUCCESS = 200;
const DEADLINE_MS = 30_000;
const PROMPT_TOKENS = 300;
const BODY = "an ad for a boat";

/** A kind of request; the engines send one event for each token that a streamed one announces. */
export type RequestKind = "plain" | Readonly<{ events: number }>;

/** What to send to the client port of a box. */
export type RequestSeries = Readonly<{
  kind: RequestKind;
  count: number;
  /** Requests that are open at the same time. */
  atOnce: number;
}>;

const formatHeaders = (kind: RequestKind, id: string) => ({
  [HEADER.host]: SITE_HOST,
  [HEADER.authorization]: `Token ${SITE_KEY}`,
  [HEADER.requestId]: id,
  [HEADER.contentLength]: String(BODY.length),
  ...(kind !== "plain" && {
    [HEADER.model]: "m",
    [HEADER.tokens]: `${PROMPT_TOKENS},${kind.events}`,
    [HEADER.deadline]: String(DEADLINE_MS),
  }),
});

/** Sends one request; rejects if it is not answered completely and with success. */
const sendRequest = (port: number, kind: RequestKind, id: string): Promise<void> =>
  new Promise((resolve, reject) => {
    const path = kind === "plain" ? `/once/${id}` : `/draft/${id}`;
    const headers = formatHeaders(kind, id);
    const options = { host: LOOPBACK, port, method: "POST", path, headers };
    const outgoing = request(options, (answer) => {
      answer.resume();
      answer.on("end", () => {
        if (answer.statusCode === SUCCESS && answer.complete) resolve();
        else reject(new Error(`request ${id} was answered with ${answer.statusCode}`));
      });
      answer.on("error", reject);
    });
    outgoing.on("error", reject);
    outgoing.end(BODY);
  });

let sent = 0;

/** Sends the requests and waits for all answers; rejects if one is not answered completely and with success. */
export const sendRequests = async (
  port: number,
  { kind, count, atOnce }: RequestSeries,
): Promise<void> => {
  let left = count;
  const sendInTurn = async () => {
    while (left > 0) {
      left -= 1;
      sent += 1;
      await sendRequest(port, kind, `request-${sent}`);
    }
  };
  await Promise.all(Array.from({ length: atOnce }, sendInTurn));
};
