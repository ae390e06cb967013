/** Types for measuring how a cost grows with a size. */

/** Cost at one size: median, minimum and maximum over the repeats. */
export type SizedCost = Readonly<{
  size: number;
  median: number;
  low: number;
  high: number;
}>;

/** Measured costs with the line fitted through them. */
export type Slope = Readonly<{
  name: string;
  unit: string;
  sizes: readonly SizedCost[];
  /** Cost per unit of size. */
  perUnit: number;
  /** Cost at size 0. */
  base: number;
  /** Coefficient of determination (r²) of the line; 1 is a perfect fit. */
  rSquared: number;
  isLinear: boolean;
}>;

/** A measurable cost; `measure` returns the cost at one size, in `unit`. */
export type SlopeProbe = Readonly<{
  name: string;
  unit: string;
  sizes: readonly number[];
  measure: (size: number) => number | Promise<number>;
}>;
