/** Callers of the benchmarks: many open streams whose tokens are counted and timed. */
import { build, type Histogram } from "hdr-histogram-js";
import { Agent } from "undici";

const MICROSECONDS_PER_MS = 1_000;
const SUCCESS = 200;
const STAMP_PATTERN = /"(?:t|content)":"(\d+\.\d+)"/g;

/** Open streams to one benchmark target. */
export type LoadClient = Readonly<{
  countTokens: () => number;
  /** Delays from the source's write to the caller's read, in microseconds. */
  delays: Histogram;
  /** Resets the counts and delays. */
  restart: () => void;
  /** Resolves when every stream has received a token; rejects if one can't be opened. */
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
  let failAll: (error: Error) => void = () => undefined;
  const allStarted = new Promise<void>((resolve, reject) => {
    resolveAll = resolve;
    failAll = reject;
  });
  // Streams may fail before the caller waits for them.
  allStarted.catch(() => undefined);
  const failStream = (stream: number, reason: string) =>
    failAll(
      new Error(`stream ${stream} of ${options.streams} at ${options.url}: ${reason}`),
    );

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
        onResponseStart: (_controller, status) => {
          if (status !== SUCCESS) failStream(stream, `answered with ${status}`);
        },
        onResponseData: (_controller, chunk) => readChunk(stream, chunk),
        onResponseEnd: () => failStream(stream, "ended"),
        onResponseError: (_controller, error) => failStream(stream, error.message),
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
