/** Callers of the benchmarks: many open streams whose tokens are counted and timed. */
import { build, type Histogram } from "hdr-histogram-js";
import { Agent } from "undici";

const MICROSECONDS_PER_MS = 1_000;
const STAMP_PATTERN = /"(?:t|content)":"(\d+\.\d+)"/g;

/** Open streams to one benchmark target. */
export type LoadClient = Readonly<{
  countTokens: () => number;
  /** Delays from the source's write to the caller's read, in microseconds. */
  delays: Histogram;
  /** Resets the counts and delays. */
  restart: () => void;
  /** Resolves when every stream has received a token. */
  waitForAll: () => Promise<void>;
  close: () => Promise<void>;
}>;

/** Opens `streams` streams with POST requests. */
export const createLoadClient = (options: {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly streams: number;
}): LoadClient => {
  const agent = new Agent({ bodyTimeout: 0 });
  const delays = build();
  const startedStreams = new Set<number>();
  let tokens = 0;
  let resolveAll: () => void = () => undefined;
  const allStarted = new Promise<void>((resolve) => {
    resolveAll = resolve;
  });

  const readChunk = (stream: number, chunk: Buffer) => {
    const now = performance.timeOrigin + performance.now();
    for (const [, stamp] of chunk.toString("latin1").matchAll(STAMP_PATTERN)) {
      tokens += 1;
      delays.recordValue(Math.max(0, (now - Number(stamp)) * MICROSECONDS_PER_MS));
      startedStreams.add(stream);
    }
    if (startedStreams.size === options.streams) resolveAll();
  };

  const { origin, pathname } = new URL(options.url);
  for (let stream = 0; stream < options.streams; stream += 1) {
    agent.dispatch(
      {
        origin,
        path: pathname,
        method: "POST",
        headers: options.headers,
        body: options.body,
      },
      {
        onRequestStart: () => undefined,
        onResponseData: (_controller, chunk) => readChunk(stream, chunk),
        onResponseError: () => undefined,
      },
    );
  }

  return {
    countTokens: () => tokens,
    delays,
    restart: () => {
      tokens = 0;
      delays.reset();
    },
    waitForAll: () => allStarted,
    close: () => agent.destroy(),
  };
};
