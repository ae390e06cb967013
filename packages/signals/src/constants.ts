/** The signals of an answer that carries none. */
import type { ServerSignals } from "./types.js";

export const NO_SIGNALS: ServerSignals = {
  isClosing: false,
  warmUpLeft: undefined,
  limit: { kind: "unnamed" },
  brittle: { kind: "unsaid" },
  leaving: { kind: "unsaid" },
  rest: { kind: "not_asked" },
};
