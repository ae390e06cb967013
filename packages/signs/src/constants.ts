/** The signs of an answer that says nothing of its server. */
import type { ServerSigns } from "./types.js";

export const NO_SIGNS: ServerSigns = {
  isClosing: false,
  warmUpLeft: undefined,
  limit: { kind: "unnamed" },
  leaving: { kind: "unsaid" },
  rest: { kind: "not_asked" },
};
