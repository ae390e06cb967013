/** Types of the measurements of what a box costs. */

/** What one probe measured in one repeat: CPU time in milliseconds, by the name of the figure. */
export type Figures = Readonly<Record<string, number>>;

/** A figure over all repeats. */
export type FigureSummary = Readonly<{
  name: string;
  median: number;
  low: number;
  high: number;
}>;
