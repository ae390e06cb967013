/** Takes what a backend server says of itself in the head of an answer. */
import type { Ms } from "@stairgauge/common";
import type { Attempt } from "./attempt.js";
import type { Placer } from "./forwarderTypes.js";
import type { AnswerHead } from "./types.js";

/** Who hears it. */
export type SignListener = Pick<
  Placer,
  "onAnswered" | "onConnectionClosing" | "onLimitSign"
>;

/** Tells what the head of an attempt's answer says of the server; another one at its address says nothing of it. */
export const recordServerSigns = (
  placer: SignListener,
  {
    server,
    openedAt,
    answeredAt = openedAt,
  }: Pick<Attempt, "server" | "openedAt" | "answeredAt">,
  head: AnswerHead,
): void => {
  placer.onAnswered(server);
  if (head.isClosing) placer.onConnectionClosing(server);
  if (!head.isOtherServer)
    placer.onLimitSign(server, head.limit, (answeredAt - openedAt) as Ms);
};
