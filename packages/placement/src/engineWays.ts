/**
 * Ways of choosing the engine for a generation, by what it has taken on. Each weighs two things against each other: memory that is spoken
 * for, which only takes room, and prompts that wait to be read, which keep the newcomer from its first event.
 */

/** One way. */
export type EngineWay = Readonly<{
  /** What it is for, in a line. */
  purpose: string;
  /** The pattern of load that it answers. */
  pattern: string;
  /** How many tokens in memory one token counts for that waits to be read. */
  backlogWeight: number;
}>;

/** All ways, by the names that settings choose by. */
export const ENGINE_WAYS = {
  free_memory: {
    purpose: "leaves the most memory free for what is to come",
    pattern: "long streams that come evenly, on engines with memory to spare",
    backlogWeight: 2,
  },
  /**
   * Earns 0.940 of the worth asked for, and 0.809 in the worst windows, where `free_memory` earns 0.916 and 0.765 (`npm run
   * measure:patterns`, wide lengths on small engines, 20 seeds); 0.007 to 0.021 more in the other three patterns.
   */
  short_queue: {
    purpose: "lets the newcomer's prompt be read soon",
    pattern:
      "short answers to long prompts beside long streams, on engines that are nearly full",
    backlogWeight: 4,
  },
} as const satisfies Readonly<Record<string, EngineWay>>;

/** Name of a way. */
export type EngineWayName = keyof typeof ENGINE_WAYS;
