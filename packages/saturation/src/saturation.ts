/** Decides by how busy the event loop is whether a box has enough processor time. Pure. */
import { assertNever } from "@stairgauge/common";
import { CALM_SHARE, CALM_WINDOWS, SHORT_SHARE, SHORT_WINDOWS } from "./constants.js";
import type { IntakeWindow } from "./intakeLimit.js";

/** What one window showed. */
export type SaturationWindow = Pick<IntakeWindow, "busyShare" | "isHeldBack"> &
  Readonly<{
    /** Whether the event loop was busy with a burst of connections that it gets through in time. */
    isInBurst: boolean;
  }>;

/** Whether the box has enough, and the windows in a row that speak for the opposite. */
export type Saturation = Readonly<
  { kind: "enough"; busyWindows: number } | { kind: "short"; calmWindows: number }
>;

export const ENOUGH: Saturation = { kind: "enough", busyWindows: 0 };
const SHORT: Saturation = { kind: "short", calmWindows: 0 };

/** Decides the state after one more window. */
export const decideSaturation = (
  state: Saturation,
  { busyShare, isHeldBack, isInBurst }: SaturationWindow,
): Saturation => {
  switch (state.kind) {
    case "enough": {
      if (busyShare < SHORT_SHARE) return ENOUGH;
      if (isInBurst) return state;
      const busyWindows = state.busyWindows + 1;
      return busyWindows < SHORT_WINDOWS ? { kind: "enough", busyWindows } : SHORT;
    }
    case "short": {
      if (busyShare >= CALM_SHARE || isHeldBack) return SHORT;
      const calmWindows = state.calmWindows + 1;
      return calmWindows < CALM_WINDOWS ? { kind: "short", calmWindows } : ENOUGH;
    }
    default:
      return assertNever(state);
  }
};
