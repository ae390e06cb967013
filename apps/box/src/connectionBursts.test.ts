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

const runWithoutPause = (forMs: number) => {
  const endsAt = performance.now() + forMs;
  while (performance.now() < endsAt);
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

  // Guards against a verdict on the box by a client that was late itself.
  it("count as come up if their client's own event loop is held up for longer than it waits for them", async () => {
    const site = await startCrowd({ boxes: 1, share: 1, crowded: 0, perSecond: 0 });
    // Behind this phase of the event loop, timers come before connections.
    await new Promise((resolve) => setImmediate(resolve));
    const sent = site.sendBurst(0, 50, "draft", STREAM_DEADLINE_MS);
    // Once the sockets exist, before the event loop learns that they are connected.
    process.nextTick(() => process.nextTick(() => runWithoutPause(1_500)));
    expect(countEnds(await sent).unread).toBeUndefined();
  });
});
