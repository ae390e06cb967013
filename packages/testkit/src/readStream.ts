/** A small caller: reads a streamed answer event by event. */
import { request } from "undici";

/** One server-sent event of an answer. */
export type AnswerEvent = Readonly<{ id: string | undefined; data: string }>;

/** What a caller got. */
export type CallerView = Readonly<{
  status: number;
  headers: Readonly<Record<string, string | string[] | undefined>>;
  events: readonly AnswerEvent[];
  /** Body of an answer that was no event stream. */
  body: string;
  /** Texts of the tokens, in order of arrival. */
  tokens: readonly string[];
  /** Whether the answer reached its marked end. */
  isWhole: boolean;
  /** Whether the connection broke. */
  isCut: boolean;
  lastId: string | undefined;
  /** Generation that the answer names. */
  generation: string;
}>;

/** A request of the small caller. */
export type CallerAsk = Readonly<{
  url: string;
  key: string;
  prompt: string;
  lastEventId?: string | undefined;
  /** Called after each token; "leave" closes the connection. */
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

/** Asks for a streamed chat answer and reads it to its end. */
export const readStream = async (ask: CallerAsk): Promise<CallerView> => {
  const response = await request(`${ask.url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${ask.key}`,
      "content-type": "application/json",
      ...(ask.lastEventId === undefined ? {} : { "last-event-id": ask.lastEventId }),
    },
    body: JSON.stringify({
      model: "redac-llm",
      stream: true,
      messages: [{ role: "user", content: ask.prompt }],
    }),
    headersTimeout: 30_000,
  });
  response.body.setEncoding("utf8");
  const events: AnswerEvent[] = [];
  const tokens: string[] = [];
  let body = "";
  let rest = "";
  let isCut = false;
  try {
    for await (const chunk of response.body) {
      body += String(chunk);
      const blocks = (rest + String(chunk)).split("\n\n");
      rest = blocks.pop() ?? "";
      for (const block of blocks) {
        const event = parseEvent(block);
        if (!event) continue;
        events.push(event);
        const token = findToken(event);
        if (token === undefined) continue;
        tokens.push(token);
        if ((await ask.onToken?.(tokens.length)) === "leave") {
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
