/** Plain requests on record: runs without tokens, which take a slot and no memory. */
import type { PlacedRun } from "./types.js";

/** Creates the record of a plain request. */
export const createPlainRun = (id: string): PlacedRun => ({
  id,
  promptTokens: 0,
  expectedOut: 0,
  hasBegun: false,
  isMovable: false,
});

/** Whether the record is that of a plain request. */
export const isPlainRun = ({
  promptTokens,
  expectedOut,
}: Pick<PlacedRun, "promptTokens" | "expectedOut">): boolean =>
  promptTokens === 0 && expectedOut === 0;
