/** Reads from a box's settings how much memory it uses for bytes of clients and servers. */
import { computeByteLimits, type ByteLimits } from "@stairgauge/forwarding";
import type { BoxSettings } from "@stairgauge/settings";

export const computeSettingsLimits = ({
  clients,
  carrying,
  limits,
}: Pick<BoxSettings, "clients" | "carrying" | "limits">): ByteLimits =>
  computeByteLimits({
    bodiesMb: clients.heldMb,
    unreadMb: clients.unreadMb,
    carriedMb: carrying.heldMb,
    answersMb: clients.answersMb,
    memoryMb: limits.memoryMb,
  });
