/**
 * Guards against treating old data as fresh after the machine was suspended. The steady clock does not count the suspension,
 * so ages measured by it alone are too short; the time of day does count it.
 */
import { describe, expect, it } from "vitest";
import { createBootClock } from "./bootClock.js";

const createFakeMachine = () => {
  let steady = 1_000;
  let timeOfDay = 1_700_000_000_000;
  let readingDuration = 0;
  const gaps: number[] = [];
  const read = createBootClock(
    {
      steady: () => (steady += readingDuration),
      timeOfDay: () => (timeOfDay += readingDuration),
    },
    (gap) => gaps.push(gap),
  );
  return {
    read,
    gaps,
    run: (duration: number) => {
      steady += duration;
      timeOfDay += duration;
    },
    changeTimeOfDay: (duration: number) => {
      timeOfDay += duration;
    },
    setReadingDuration: (duration: number) => {
      readingDuration = duration;
    },
  };
};

describe("createBootClock", () => {
  it("counts the time of a suspension at the first reading after it", () => {
    const { read, gaps, run, changeTimeOfDay } = createFakeMachine();
    const startedAt = read();
    run(500);
    changeTimeOfDay(4_000);
    expect(read() - startedAt).toBe(4_500);
    run(10);
    expect(read() - startedAt).toBe(4_510);
    expect(gaps).toEqual([4_000]);
  });

  it("counts several short suspensions once their sum reaches the minimum", () => {
    const { read, run, changeTimeOfDay } = createFakeMachine();
    const startedAt = read();
    for (let i = 0; i < 4; i += 1) {
      changeTimeOfDay(30);
      run(10);
      read();
    }
    expect(read() - startedAt).toBe(40 + 120);
  });

  it("does not go back when the time of day is set back, and still counts a later suspension", () => {
    const { read, run, changeTimeOfDay } = createFakeMachine();
    const startedAt = read();
    changeTimeOfDay(-2_400);
    run(100);
    expect(read() - startedAt).toBe(100);
    changeTimeOfDay(3_000);
    expect(read() - startedAt).toBe(3_100);
  });

  it("counts a time of day that is set ahead as time that passed", () => {
    const { read, changeTimeOfDay } = createFakeMachine();
    const startedAt = read();
    changeTimeOfDay(2_400);
    expect(read() - startedAt).toBe(2_400);
  });

  it("ignores a reading in which the two clocks were read too far apart", () => {
    const { read, run, gaps, setReadingDuration } = createFakeMachine();
    read();
    setReadingDuration(150);
    read();
    setReadingDuration(0);
    run(1);
    read();
    expect(gaps).toEqual([]);
  });
});
