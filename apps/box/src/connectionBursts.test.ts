/**
 * Guards against a box with processor time to spare that closes connections unread because many came at once,
 * although it could have read and served them before their callers leave.
 */
import { describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import { startCrowd, type AttemptEnd } from "./crowdedProcesses.testkit.js";

/** Few events each, so that open streams cost a box little beside reading their requests. */
const STREAM_EVENTS = 3;
const STREAM_DEADLINE_MS = 30_000;

const countEnds = (ends: readonly AttemptEnd[]) => {
  const counts: Partial<Record<AttemptEnd, number>> = {};
  for (const end of ends) counts[end] = (counts[end] ?? 0) + 1;
  return counts;
};

describe("connections that all come at once", () => {
  it.each([
    { boxes: 1, share: 1, connections: 100 },
    { boxes: 1, share: 1, connections: 500 },
    { boxes: 1, share: 1, connections: 2_000 },
    { boxes: 1, share: 0.324, connections: 160 },
    { boxes: 1, share: 0.324, connections: 640 },
    { boxes: 1, share: 0.12, connections: 60 },
    { boxes: 1, share: 0.12, connections: 240 },
    { boxes: 4, share: 1, connections: 500 },
  ])(
    "are all served if their callers wait: $connections at each of $boxes, $share of a processor",
    async ({ boxes, share, connections }) => {
      const site = await startCrowd({
        boxes,
        share,
        crowded: 0,
        perSecond: 0,
        streamEvents: STREAM_EVENTS,
      });
      const ends = await Promise.all(
        site.boxes.map((_, box) =>
          site.sendBurst(box, connections, "draft", STREAM_DEADLINE_MS),
        ),
      );
      expect(countEnds(ends.flat())).toEqual({ served: boxes * connections });
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
