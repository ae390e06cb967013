/** Slopes: how a cost grows with a size. */

/** A cost at one size: its median over repeats, and how far the repeats lie apart. */
export type SizedCost = Readonly<{
  size: number;
  median: number;
  low: number;
  high: number;
}>;

/** A fitted slope. */
export type Slope = Readonly<{
  name: string;
  unit: string;
  sizes: readonly SizedCost[];
  /** Cost for each further unit of size. */
  perUnit: number;
  /** Cost that does not grow. */
  base: number;
  /** Share of the growth that the line explains; 1 is a straight line. */
  rSquared: number;
  isLinear: boolean;
}>;

/** Something to measure: the cost at one size. */
export type SlopeProbe = Readonly<{
  name: string;
  unit: string;
  sizes: readonly number[];
  measure: (size: number) => number | Promise<number>;
}>;
