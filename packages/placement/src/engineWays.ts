/**
 * Policies for choosing the engine of a generation by engine load. Each policy weighs two
 * quantities: memory in use or reserved, which only takes up space, and prompts that wait to be
 * processed, which delay the first event of a new request.
 */

/** One policy. */
export type EngineWay = Readonly<{
  /** Purpose, in one line. */
  purpose: string;
  /** The load pattern that it is meant for. */
  pattern: string;
  /** Weight of a waiting prompt token relative to a token in memory. */
  backlogWeight: number;
}>;

/** All policies, by their names in the settings. */
export const ENGINE_WAYS = {
  free_memory: {
    purpose: "leaves the most memory free for later requests",
    pattern: "long streams that arrive evenly, on engines with memory to spare",
    backlogWeight: 2,
  },
  /**
   * In `npm run measure:patterns` (wide lengths on small engines, 20 seeds) this policy earns 0.940
   * of the requested worth, and 0.809 in the worst windows; `free_memory` earns 0.916 and 0.765. In
   * the other three patterns it earns 0.007 to 0.021 more.
   */
  short_queue: {
    purpose: "starts processing the prompt of a new request soon",
    pattern:
      "short answers to long prompts, mixed with long streams, on engines that are nearly full",
    backlogWeight: 4,
  },
} as const satisfies Readonly<Record<string, EngineWay>>;

/** Name of a policy. */
export type EngineWayName = keyof typeof ENGINE_WAYS;
