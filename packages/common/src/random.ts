/** A random source interface: seeded for tests and benchmarks, the system's own for ids. */
import { randomBytes, randomInt } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

const ID_BYTES = 16;

/** A source of random numbers. */
export type Random = Readonly<{
  /** A number in [0, 1). */
  nextFloat: () => number;
  /** An integer from `low` to `high`, both included. */
  nextInt: (low: number, high: number) => number;
  /** A random 128-bit id in URL-safe characters. */
  nextId: () => string;
}>;

/** Creates the system's random source; its ids can't be guessed. */
export const createSystemRandom = (): Random => ({
  nextFloat: () => Math.random(),
  nextInt: (low, high) => randomInt(low, high + 1),
  nextId: () => randomBytes(ID_BYTES).toString("base64url"),
});

/** Creates a repeatable random source: the same seed gives the same sequence. */
export const createSeededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return {
    nextFloat: () => uniformFloat64(generator),
    nextInt: (low, high) => uniformInt(generator, low, high),
    nextId: () =>
      Buffer.from(
        Array.from({ length: ID_BYTES }, () => uniformInt(generator, 0, 255)),
      ).toString("base64url"),
  };
};
