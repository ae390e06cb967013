/**
 * A machine may be suspended for seconds. The steady clock does not count that time, the time of day does; whoever judges by the
 * steady clock alone takes what it knew before for fresh, and hands it on as fresh.
 */
import { describe, expect, it } from "vitest";
import { createBootClock } from "./bootClock.js";

const createMachine = () => {
  let steady = 1_000;
  let timeOfDay = 1_700_000_000_000;
  let readingTakes = 0;
  const gaps: number[] = [];
  const read = createBootClock(
    {
      steady: () => (steady += readingTakes),
      timeOfDay: () => (timeOfDay += readingTakes),
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
    setAhead: (duration: number) => {
      timeOfDay += duration;
    },
    setReadingTakes: (duration: number) => {
      readingTakes = duration;
    },
  };
};

describe("createBootClock", () => {
  it("counts the time in which the machine was suspended, at the first reading", () => {
    const { read, gaps, run, setAhead } = createMachine();
    const begun = read();
    run(500);
    setAhead(4_000);
    expect(read() - begun).toBe(4_500);
    run(10);
    expect(read() - begun).toBe(4_510);
    expect(gaps).toEqual([4_000]);
  });

  it("counts several short ones once they add up", () => {
    const { read, run, setAhead } = createMachine();
    const begun = read();
    for (let i = 0; i < 4; i += 1) {
      setAhead(30);
      run(10);
      read();
    }
    expect(read() - begun).toBe(40 + 120);
  });

  it("never goes back when the time of day is set back, and finds what comes afterwards", () => {
    const { read, run, setAhead } = createMachine();
    const begun = read();
    setAhead(-2_400);
    run(100);
    expect(read() - begun).toBe(100);
    setAhead(3_000);
    expect(read() - begun).toBe(3_100);
  });

  it("takes a time of day that is set ahead for time that passed: what is known is then confirmed anew", () => {
    const { read, setAhead } = createMachine();
    const begun = read();
    setAhead(2_400);
    expect(read() - begun).toBe(2_400);
  });

  it("makes nothing of two readings that were interrupted", () => {
    const { read, run, gaps, setReadingTakes } = createMachine();
    read();
    setReadingTakes(150);
    read();
    setReadingTakes(0);
    run(1);
    read();
    expect(gaps).toEqual([]);
  });
});
