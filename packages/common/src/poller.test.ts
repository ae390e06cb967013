/** Guards against a poller that never polls again after a poll that throws. */
import { expect, it } from "vitest";
import { advanceSettled } from "./advanceSettled.js";
import { collectRejections } from "./collectRejections.js";
import { createPoller } from "./poller.js";
import type { Ms } from "./types.js";
import { createVirtualClock } from "./virtualClock.js";

it.each([
  ["rejects", () => Promise.reject(new Error("odd"))],
  [
    "throws",
    () => {
      throw new Error("odd");
    },
  ],
])(
  "a poll that %s is followed by the next one, and its error is passed on",
  async (_, fail) => {
    const clock = createVirtualClock();
    let polls = 0;
    const poll = () => {
      polls += 1;
      return polls === 2 ? fail() : Promise.resolve();
    };
    const poller = createPoller({ clock, interval: 100 as Ms, poll });
    const errors = await collectRejections(async () => {
      poller.start();
      await advanceSettled(clock, 450 as Ms);
    });
    poller.stop();
    expect(polls).toBe(5);
    expect(errors).toEqual([new Error("odd")]);
  },
);
