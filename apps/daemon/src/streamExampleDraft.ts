/** Streams one ad draft over HTTP, as a caller would, and shows it as it comes. */
import { request } from "undici";
import { EXAMPLE_KEY } from "@stairgauge/standins";

const PROMPT =
  "A seller's note: flat, old port, two rooms, balcony. Write the ad. [length=60]";
const OK_STATUS = 200;
const DONE_LINE = "data: [DONE]";

type Chunk = Readonly<{
  choices?: readonly Readonly<{ delta?: Readonly<{ content?: string }> }>[];
}>;

const showLine = (line: string) => {
  if (!line.startsWith("data: {")) return;
  const chunk = JSON.parse(line.slice("data: ".length)) as Chunk;
  process.stdout.write(chunk.choices?.[0]?.delta?.content ?? "");
};

/** Streams the draft; true where the answer was whole. */
export const streamExampleDraft = async (port: number): Promise<boolean> => {
  const response = await request(`http://127.0.0.1:${port}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${EXAMPLE_KEY}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "redac-llm",
      stream: true,
      messages: [{ role: "user", content: PROMPT }],
    }),
  });
  process.stdout.write("An ad draft, streamed through the box:\n\n  ");
  response.body.setEncoding("utf8");
  let rest = "";
  let isWhole = false;
  for await (const chunk of response.body) {
    const lines = (rest + String(chunk)).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      if (line === DONE_LINE) isWhole = true;
      else showLine(line);
    }
  }
  process.stdout.write("\n");
  return isWhole && response.statusCode === OK_STATUS;
};
