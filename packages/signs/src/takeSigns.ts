/** Hands the signs of an answer to their takers. */
import type { HeardSign, ServerSigns, SignTakers } from "./types.js";

/** The signs of one answer, whose server it is that gave them, and where. */
export type HeardSigns = Omit<HeardSign<ServerSigns>, "sign"> &
  Readonly<{ signs: ServerSigns }>;

/** Calls the taker of each sign. */
export const takeSigns = (
  takers: SignTakers,
  { server, signs, source }: HeardSigns,
): void => {
  const takeSign = <Name extends keyof ServerSigns>(name: Name) =>
    takers[name]({ server, sign: signs[name], source });
  const names = Object.keys(takers) as (keyof ServerSigns)[];
  names.forEach(takeSign);
};
