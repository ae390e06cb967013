/** Tells one request's way: each decision with its inputs and their age, what its box met meanwhile, and the cause. */
import type { Ms } from "@stairgauge/common";
import { judgeCause } from "./judgeCause.js";
import type { Cause, Chronicle, RequestStory, TimedLine } from "./types.js";

/** How long before a request what its box met may still bear on it. */
const BEFORE_MS = 5_000;

/** Lines about no request that bear on those of the same box. */
const BEARING: ReadonlySet<string> = new Set([
  "starting",
  "stopping",
  "stopped",
  "store_lost",
  "store_regained",
  "configuration_adopted",
  "evacuation",
  "server_leaving",
  "peer_lost",
]);

/** One step, in order. */
export type ExplainedStep = Readonly<{
  /** From the request's first line on; negative before it. */
  afterMs: Ms;
  event: string;
  isOwn: boolean;
  inputs: Readonly<Record<string, unknown>>;
}>;

/** One request at one box. */
export type Explanation = Readonly<{
  request: string;
  box: string;
  cause: Cause;
  steps: readonly ExplainedStep[];
}>;

const collectServers = ({ lines }: RequestStory): ReadonlySet<unknown> =>
  new Set(
    lines.flatMap(({ fields }) => [fields["server"], fields["from"], fields["to"]]),
  );

const collectBearing = (
  story: RequestStory,
  happenings: readonly TimedLine[],
): readonly TimedLine[] => {
  const servers = collectServers(story);
  const from = story.lines[0]!.sharedAt - BEFORE_MS;
  const until = story.lines.at(-1)!.sharedAt;
  return happenings.filter(
    ({ box, event, sharedAt, fields }) =>
      box === story.run.box &&
      BEARING.has(event) &&
      sharedAt >= from &&
      sharedAt <= until &&
      (fields["server"] === undefined || servers.has(fields["server"])),
  );
};

/** Explains a request; none when no line names it, several when its id came to several boxes. */
export const explainRequest = (
  chronicle: Chronicle,
  request: string,
): readonly Explanation[] =>
  chronicle.stories
    .filter((story) => story.request === request)
    .map((story) => {
      const start = story.lines[0]!.sharedAt;
      const bearing = collectBearing(story, chronicle.happenings);
      const steps = [...bearing, ...story.lines]
        .sort((a, b) => a.sharedAt - b.sharedAt)
        .map(({ sharedAt, event, request: own, fields }) => ({
          afterMs: Math.round(sharedAt - start) as Ms,
          event,
          isOwn: own !== undefined,
          inputs: fields,
        }));
      return { request, box: story.run.box, cause: judgeCause(story, chronicle), steps };
    });
