/**
 * Model of one engine under load. It batches continuously, reads prompts in chunks between the tokens of other runs, and
 * keeps prompts and tokens in limited memory. When memory runs out, it preempts the newest of the least urgent runs, which
 * is read again later.
 */

/** Parameters of an engine; times in ms, sizes in tokens. */
export type EngineTraits = Readonly<{
  slots: number;
  memory: number;
  stepMs: number;
  stepMsPerRun: number;
  prefillPerMs: number;
  /** Prompt tokens read in one step, between two tokens of the other runs. */
  chunk: number;
  /** Factor on the time of each step. */
  slowness: number;
  /** Returns a further factor on the time of a step that begins at the given time. */
  getSlowFactor?: ((now: number) => number) | undefined;
}>;

/** One generation; times in ms, lengths in tokens. */
export type ModelRun = {
  readonly id: string;
  readonly kind: string;
  readonly prompt: number;
  readonly out: number;
  /** The client's estimate of `out`. */
  readonly guess: number;
  /** Rank of its tier; 0 is the most urgent. */
  readonly tier: number;
  readonly arrivedAt: number;
  /** Tokens generated so far. */
  generated: number;
  /** Time of the first event; undefined before it. */
  firstAt: number | undefined;
  /** Time of the newest event; of the arrival before the first event. */
  lastAt: number;
  longestPause: number;
  preemptions: number;
};

/** Tokens per event; a client receives a token only when its event is complete. */
export const TOKENS_PER_EVENT = 4;

/** A queued or running run; `left` tokens of it still have to be read. */
type Slot = { readonly run: ModelRun; left: number };

/** A simulated engine. */
export type ModelEngine = Readonly<{
  id: string;
  /** Queues a run; `readTokens` of it are in memory already, as after a move. */
  add: (run: ModelRun, readTokens?: number) => void;
  /** Runs one step if there is work; returns the time at which the next step can begin. */
  step: (now: number) => number;
  /** Lists running and waiting runs. */
  list: () => readonly ModelRun[];
  /** Returns the tokens in memory. */
  getUsedTokens: () => number;
}>;

/** Interval at which an idle engine checks for work. */
const IDLE_MS = 2;

/** Callbacks of an engine: first event of a run, each event, and its end. */
export type EngineEvents = Readonly<{
  onBegun: (run: ModelRun) => void;
  onEvent?: ((run: ModelRun, now: number) => void) | undefined;
  onEnded: (run: ModelRun) => void;
}>;

/** Creates an idle engine. */
export const createModelEngine = (
  id: string,
  traits: EngineTraits,
  { onBegun, onEvent, onEnded }: EngineEvents,
): ModelEngine => {
  const { slots, memory, chunk, slowness } = traits;
  /** In order of admission. */
  let running: Slot[] = [];
  const waiting: Slot[] = [];

  const countTokens = ({ run, left }: Slot) => run.prompt + run.generated - left;
  const getUsedTokens = () => running.reduce((sum, slot) => sum + countTokens(slot), 0);
  const getReservedTokens = () =>
    running.reduce((sum, { run }) => sum + run.prompt + run.generated, 0);

  const admit = () => {
    waiting.sort((a, b) => a.run.tier - b.run.tier);
    while (running.length < slots && waiting.length > 0) {
      const next = waiting[0]!;
      if (getReservedTokens() + next.run.prompt + next.run.generated > memory) return;
      running.push(waiting.shift()!);
    }
  };
  const preempt = () => {
    while (getUsedTokens() > memory && running.length > 1) {
      const lowestTier = Math.max(...running.map(({ run }) => run.tier));
      const slot = running.findLast(({ run }) => run.tier === lowestTier)!;
      running = running.filter((other) => other !== slot);
      slot.run.preemptions += 1;
      waiting.unshift({ run: slot.run, left: slot.run.prompt + slot.run.generated });
    }
  };
  const addToken = (run: ModelRun, now: number) => {
    run.generated += 1;
    const isEvent = run.generated % TOKENS_PER_EVENT === 0 || run.generated >= run.out;
    if (!isEvent) return;
    if (run.firstAt === undefined) {
      run.firstAt = now;
      onBegun(run);
    } else run.longestPause = Math.max(run.longestPause, now - run.lastAt);
    run.lastAt = now;
    onEvent?.(run, now);
  };

  return {
    id,
    add: (run, readTokens = 0) =>
      void waiting.push({ run, left: run.prompt + run.generated - readTokens }),
    step: (now) => {
      admit();
      if (running.length === 0) return now + IDLE_MS;
      const decoding = running.filter(({ left }) => left === 0);
      const reading = running
        .filter(({ left }) => left > 0)
        .sort((a, b) => a.run.tier - b.run.tier)[0];
      const chunkTokens = Math.min(chunk, reading?.left ?? 0);
      const duration =
        traits.stepMs +
        traits.stepMsPerRun * decoding.length +
        chunkTokens / traits.prefillPerMs;
      const slowFactor = traits.getSlowFactor?.(now) ?? 1;
      const end = now + duration * slowness * slowFactor;
      if (reading) reading.left -= chunkTokens;
      for (const { run } of decoding) addToken(run, end);
      const ended = running.filter(({ run }) => run.generated >= run.out);
      running = running.filter(({ run }) => run.generated < run.out);
      for (const { run } of ended) onEnded(run);
      preempt();
      return end;
    },
    list: () => [...running, ...waiting].map(({ run }) => run),
    getUsedTokens,
  };
};
