/** Codec for service times in messages between boxes. */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { GapSum, PaceSum, SharedPace } from "@stairgauge/pace";
import { z } from "zod";

/** Most servers in one message; further ones are ignored. */
const MAX_SERVERS = 64;

/** Weight and mean. */
const sumSchema = z.tuple([
  z.number().positive().max(1e6),
  z.number().positive().max(1e7),
]);

/** Number of gaps, number above the target, and the longest in ms. */
const gapsSchema = z.tuple([
  z.number().nonnegative(),
  z.number().nonnegative(),
  z.number().nonnegative(),
]);

/** A server's service times in a message. */
export const paceSchema = z.object({
  server: z.string(),
  service: z.string(),
  age: z.number().nonnegative(),
  answer: sumSchema.optional(),
  reading: sumSchema.optional(),
  event: sumSchema.optional(),
  gaps: gapsSchema.optional(),
  slow: z.boolean().optional(),
});

type WirePace = z.infer<typeof paceSchema>;

/** The field `paces` of a message. An invalid one is ignored, since the rest of the message matters more. */
export const pacesSchema = z.array(z.unknown()).optional().catch(undefined);

/** Four digits are more than the estimates are worth. */
const round = (value: number): number => Number(value.toPrecision(4));

const toWireSum = ({ weight, mean }: PaceSum): [number, number] => [
  round(weight),
  round(mean),
];

const fromWireSum = (sum: readonly [number, number] | undefined): PaceSum | undefined =>
  sum && { weight: sum[0], mean: sum[1] };

const toWireGaps = ({
  gaps,
  aboveTarget,
  longestMs,
}: GapSum): [number, number, number] => [gaps, aboveTarget, round(longestMs)];

const toWirePace = (pace: SharedPace): WirePace => ({
  server: pace.server,
  service: pace.service,
  age: Math.round(pace.age),
  ...(pace.answer && { answer: toWireSum(pace.answer) }),
  ...(pace.reading && { reading: toWireSum(pace.reading) }),
  ...(pace.event && { event: toWireSum(pace.event) }),
  ...(pace.gaps && { gaps: toWireGaps(pace.gaps) }),
  ...(pace.isSlow && { slow: true }),
});

const fromWirePace = ({ gaps, ...pace }: WirePace): SharedPace => ({
  server: pace.server as ServerId,
  service: pace.service as ServiceName,
  age: pace.age as Ms,
  answer: fromWireSum(pace.answer),
  reading: fromWireSum(pace.reading),
  event: fromWireSum(pace.event),
  gaps: gaps && { gaps: gaps[0], aboveTarget: gaps[1], longestMs: gaps[2] },
  ...(pace.slow && { isSlow: true }),
});

/** Left out of the message when empty. */
export const encodePaces = (paces: readonly SharedPace[] = []) =>
  paces.length === 0 ? {} : { paces: paces.slice(0, MAX_SERVERS).map(toWirePace) };

/** Left out of the decoded message where the message has none, as from a box of an earlier release. */
export const decodePaces = (paces: readonly WirePace[] = []) =>
  paces.length === 0 ? {} : { paces: paces.slice(0, MAX_SERVERS).map(fromWirePace) };
