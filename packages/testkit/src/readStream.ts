/** A small client that reads a streamed chat answer event by event. */
import { request } from "undici";

/** One server-sent event of an answer. */
export type AnswerEvent = Readonly<{ id: string | undefined; data: string }>;

/** What the client received. */
export type StreamView = Readonly<{
  status: number;
  headers: Readonly<Record<string, string | string[] | undefined>>;
  events: readonly AnswerEvent[];
  /** The whole body as text, whether or not it is an event stream. */
  body: string;
  /** Texts of the tokens, in order of arrival. */
  tokens: readonly string[];
  /** Whether the last event is `[DONE]`. */
  isWhole: boolean;
  /** Whether reading failed, for example because the connection broke. */
  isCut: boolean;
  /** Id of the last event that has one; undefined if none has. */
  lastId: string | undefined;
  /** Generation id from the first event with JSON data; empty if there is none. */
  generation: string;
}>;

/** A streamed chat request. */
export type StreamRequest = Readonly<{
  url: string;
  /** API key. */
  key: string;
  prompt: string;
  /** Last event that was received, to resume a stream after it. */
  lastEventId?: string | undefined;
  /** Called after each token with the number of tokens so far; "leave" closes the connection. */
  onToken?: (count: number) => "leave" | undefined | Promise<"leave" | undefined>;
}>;

type Chunk = Readonly<{
  id?: string;
  choices?: readonly Readonly<{ delta?: Readonly<{ content?: string }> }>[];
}>;

const parseEvent = (block: string): AnswerEvent | undefined => {
  const lines = block.split("\n");
  const find = (field: string) =>
    lines.find((line) => line.startsWith(`${field}: `))?.slice(field.length + 2);
  const data = find("data");
  return data === undefined ? undefined : { id: find("id"), data };
};

const findToken = ({ data }: AnswerEvent): string | undefined => {
  if (!data.startsWith("{")) return undefined;
  const text = (JSON.parse(data) as Chunk).choices?.[0]?.delta?.content;
  return text === undefined || text === "" ? undefined : text;
};

const findGeneration = (events: readonly AnswerEvent[]): string => {
  const first = events.find(({ data }) => data.startsWith("{"));
  return first
    ? ((JSON.parse(first.data) as Chunk).id ?? "").replace("chatcmpl-", "")
    : "";
};

/** Sends a streamed chat request and reads the answer until it ends or breaks off. */
export const readStream = async (options: StreamRequest): Promise<StreamView> => {
  const response = await request(`${options.url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${options.key}`,
      "content-type": "application/json",
      ...(options.lastEventId === undefined
        ? {}
        : { "last-event-id": options.lastEventId }),
    },
    body: JSON.stringify({
      model: "redac-llm",
      stream: true,
      messages: [{ role: "user", content: options.prompt }],
    }),
    headersTimeout: 30_000,
  });
  response.body.setEncoding("utf8");
  const events: AnswerEvent[] = [];
  const tokens: string[] = [];
  let body = "";
  let incompleteEvent = "";
  let isCut = false;
  try {
    for await (const chunk of response.body) {
      body += String(chunk);
      const blocks = (incompleteEvent + String(chunk)).split("\n\n");
      incompleteEvent = blocks.pop() ?? "";
      for (const block of blocks) {
        const event = parseEvent(block);
        if (!event) continue;
        events.push(event);
        const token = findToken(event);
        if (token === undefined) continue;
        tokens.push(token);
        if ((await options.onToken?.(tokens.length)) === "leave") {
          response.body.destroy();
          break;
        }
      }
    }
  } catch {
    isCut = true;
  }
  return {
    status: response.statusCode,
    headers: response.headers,
    events,
    body,
    tokens,
    isWhole: events.at(-1)?.data === "[DONE]",
    isCut,
    generation: findGeneration(events),
    lastId: events.findLast((event) => event.id !== undefined)?.id,
  };
};
