/**
 * A model of one crowded engine: it batches continuously, reads prompts in pieces between the tokens of other runs, and holds prompts and
 * tokens in limited memory; when that runs out, the newest of the least urgent runs gives way and is read anew.
 */

/** What an engine is like; times in ms, sizes in tokens. */
export type EngineTraits = Readonly<{
  slots: number;
  memory: number;
  stepMs: number;
  stepMsPerRun: number;
  prefillPerMs: number;
  /** Prompt tokens that are read between two tokens of the others. */
  chunk: number;
  /** Factor on the time of each step. */
  slowness: number;
}>;

/** A generation. */
export type ModelRun = {
  readonly id: string;
  readonly kind: string;
  readonly prompt: number;
  readonly out: number;
  /** The client's guess at `out`. */
  readonly guess: number;
  /** Rank, 0 first. */
  readonly tier: number;
  readonly arrivedAt: number;
  made: number;
  firstAt: number | undefined;
  lastAt: number;
  longestPause: number;
  preemptions: number;
};

/** Tokens of one event; a client sees nothing of a token before its event is whole. */
export const TOKENS_PER_EVENT = 4;

type Slot = { readonly run: ModelRun; left: number };

/** An engine under load. */
export type ModelEngine = Readonly<{
  id: string;
  add: (run: ModelRun, readTokens?: number) => void;
  /** Does one step if there is work; gives the time at which the next one may begin. */
  step: (now: number) => number;
  list: () => readonly ModelRun[];
  getUsed: () => number;
}>;

/** How often an idle engine looks for work. */
const IDLE_MS = 2;

/** What an engine tells of its runs. */
export type EngineEvents = Readonly<{
  onBegun: (run: ModelRun) => void;
  onEnded: (run: ModelRun) => void;
}>;

/** Creates an idle engine. */
export const createModelEngine = (
  id: string,
  traits: EngineTraits,
  { onBegun, onEnded }: EngineEvents,
): ModelEngine => {
  const { slots, memory, chunk, slowness } = traits;
  /** In the order of their admission. */
  let running: Slot[] = [];
  const waiting: Slot[] = [];

  const countTokens = ({ run, left }: Slot) => run.prompt + run.made - left;
  const getUsed = () => running.reduce((sum, slot) => sum + countTokens(slot), 0);
  const getReserved = () =>
    running.reduce((sum, { run }) => sum + run.prompt + run.made, 0);

  const admit = () => {
    waiting.sort((a, b) => a.run.tier - b.run.tier);
    while (running.length < slots && waiting.length > 0) {
      const next = waiting[0]!;
      if (getReserved() + next.run.prompt + next.run.made > memory) return;
      running.push(waiting.shift()!);
    }
  };
  const preempt = () => {
    while (getUsed() > memory && running.length > 1) {
      const least = Math.max(...running.map(({ run }) => run.tier));
      const slot = running.findLast(({ run }) => run.tier === least)!;
      running = running.filter((other) => other !== slot);
      slot.run.preemptions += 1;
      waiting.unshift({ run: slot.run, left: slot.run.prompt + slot.run.made });
    }
  };
  const makeToken = (run: ModelRun, now: number) => {
    run.made += 1;
    const isEvent = run.made % TOKENS_PER_EVENT === 0 || run.made >= run.out;
    if (!isEvent) return;
    if (run.firstAt === undefined) {
      run.firstAt = now;
      onBegun(run);
    } else run.longestPause = Math.max(run.longestPause, now - run.lastAt);
    run.lastAt = now;
  };

  return {
    id,
    add: (run, readTokens = 0) =>
      void waiting.push({ run, left: run.prompt + run.made - readTokens }),
    step: (now) => {
      admit();
      if (running.length === 0) return now + IDLE_MS;
      const decoding = running.filter(({ left }) => left === 0);
      const reading = running
        .filter(({ left }) => left > 0)
        .sort((a, b) => a.run.tier - b.run.tier)[0];
      const piece = Math.min(chunk, reading?.left ?? 0);
      const duration =
        traits.stepMs +
        traits.stepMsPerRun * decoding.length +
        piece / traits.prefillPerMs;
      const end = now + duration * slowness;
      if (reading) reading.left -= piece;
      for (const { run } of decoding) makeToken(run, end);
      const ended = running.filter(({ run }) => run.made >= run.out);
      running = running.filter(({ run }) => run.made < run.out);
      for (const { run } of ended) onEnded(run);
      preempt();
      return end;
    },
    list: () => [...running, ...waiting].map(({ run }) => run),
    getUsed,
  };
};
