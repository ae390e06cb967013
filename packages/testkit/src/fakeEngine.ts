/** Fake engine client for tests. It records calls and opened links; the test itself calls the links' handlers. */
import { Ok, type GenerationId } from "@stairgauge/common";
import type { EngineClient, LinkHandlers, LoadReport } from "@stairgauge/engines";

/** A link that the code under test has opened. */
export type FakeLink = Readonly<{
  kind: "start" | "resume";
  address: string;
  generation: GenerationId;
  /** Index of the first frame asked for. */
  from: number;
  handlers: LinkHandlers;
  state: { isPaused: boolean; isClosed: boolean };
}>;

/** A fake engine with the links and cancellations that it has recorded. */
export type FakeEngine = Readonly<{
  client: EngineClient;
  links: readonly FakeLink[];
  cancelled: readonly Readonly<{ generation: GenerationId; onlyIfDetached: boolean }>[];
}>;

const IDLE_LOAD: LoadReport = {
  sequence: 1,
  running: 0,
  waiting: 0,
  usedTokens: 0,
  memoryTokens: 1_000_000,
  preemptions: 0,
  isLeaving: false,
  fencingToken: 0,
};

/** Creates a fake engine without links. */
export const createFakeEngine = (): FakeEngine => {
  const links: FakeLink[] = [];
  const cancelled: { generation: GenerationId; onlyIfDetached: boolean }[] = [];

  const open = (link: Omit<FakeLink, "state">) => {
    const state = { isPaused: false, isClosed: false };
    links.push({ ...link, state });
    return {
      pause: () => {
        state.isPaused = true;
      },
      resume: () => {
        state.isPaused = false;
      },
      close: () => {
        state.isClosed = true;
      },
    };
  };

  return {
    links,
    cancelled,
    client: {
      openStart: (address, { generation }, handlers) =>
        open({ kind: "start", address, generation, from: 0, handlers }),
      openResume: (address, { generation, from }, handlers) =>
        open({ kind: "resume", address, generation, from, handlers }),
      cancel: (_address, target) => {
        cancelled.push(target);
        return Promise.resolve(Ok(undefined));
      },
      setPaused: () => Promise.resolve(Ok(undefined)),
      readLoad: () => Promise.resolve(Ok(IDLE_LOAD)),
      readCacheEvents: () => Promise.resolve(Ok([])),
      sendOrder: () => Promise.resolve(Ok(undefined)),
      close: () => Promise.resolve(),
    },
  };
};
