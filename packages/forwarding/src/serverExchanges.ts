/**
 * Sends requests to servers over the way that is open: this box's own path, or another box that reaches
 * the server. A request whose connection could not be established was not sent, so it is carried within
 * the same attempt; a request that may have been sent never changes its way.
 */
import { assertNever, type Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { ServerPaths, UnreachedCause } from "@stairgauge/paths";
import {
  openCarriedExchange,
  type CarriedExchangeDeps,
  type NotCarried,
} from "./carriedExchange.js";
import {
  REFUSED_CODE,
  type Exchange,
  type ExchangeRequest,
  type ExchangeSink,
} from "./openExchange.js";
import type { ExchangeFailure } from "./types.js";
import { failUnsent, attemptMake } from "./unsendable.js";

/** A request to one server. */
export type ServerRequest = Readonly<{
  server: BackendServer;
  /** Whether the server gets new work, which a leaving server must not get. */
  isNewWork: boolean;
  /** Builds the request anew for each way, with the time that is left then. */
  build: () => ExchangeRequest;
  sink: ExchangeSink;
}>;

/** Sends requests to servers. */
export type ServerExchanges = Readonly<{
  open: (request: ServerRequest) => Exchange;
  /**
   * Breaks off the answers that have begun over a lost path and are silent since. Over an open path a
   * server's silence is no reason.
   */
  breakSilent: () => void;
}>;

/** Opens an exchange over this box's own connection to the server; never throws, nor calls the sink before it returns. */
export type OpenOwnExchange = (request: ExchangeRequest, sink: ExchangeSink) => Exchange;

/** Dependencies of the exchanges. */
export type ServerExchangesDeps = Omit<CarriedExchangeDeps, "paths"> &
  Readonly<{
    /** Opens an exchange over this box's own connection. */
    openOwn: OpenOwnExchange;
    paths: Pick<
      ServerPaths,
      | "isLost"
      | "isDown"
      | "computeWait"
      | "recordConnected"
      | "recordUnreached"
      | "recordCarried"
      | "countUnreachedAllowed"
      | "recordDown"
    >;
  }>;

/**
 * How long an answer over a lost path may be silent. An open connection may live on while new ones fail,
 * and a sound server may pause for a second.
 */
const SILENT_MS = 1_200;

type BegunAnswer = { receivedAt: Ms; isPaused: boolean; readonly breakOff: () => void };

/** Classifies why no connection was established. */
export const toUnreachedCause = (detail: string): UnreachedCause =>
  detail === REFUSED_CODE ? "refused" : "no_connection";

/** Describes such a failure as the connection itself does. */
export const toUnreachedDetail = (cause: UnreachedCause): string => {
  switch (cause) {
    case "refused":
      return REFUSED_CODE;
    case "no_connection":
      return "no connection in time";
    default:
      return assertNever(cause);
  }
};

/** Adds what another box found out: only its own failure confirms that nothing listens at the address. */
const toUnreachable = (
  direct: ExchangeFailure,
  { unreached }: NotCarried,
): ExchangeFailure => {
  const detail = unreached ?? `${direct.detail}, not confirmed by another box`;
  return { kind: "unreachable", detail };
};

/** Creates the exchanges. */
export const createServerExchanges = (deps: ServerExchangesDeps): ServerExchanges => {
  const { clock, paths, carriers, openOwn, onEvent } = deps;

  const begunAnswers = new Map<BegunAnswer, ServerId>();

  /** Keeps when an answer last arrived over this box's own path. */
  const watchAnswer = (id: ServerId, sink: ExchangeSink, breakOff: () => void) => {
    const answer: BegunAnswer = { receivedAt: 0 as Ms, isPaused: false, breakOff };
    const end = () => void begunAnswers.delete(answer);
    const touch = () => {
      answer.receivedAt = clock.monotonic();
    };
    const watched: ExchangeSink = {
      ...sink,
      onHead: (...head) => {
        touch();
        begunAnswers.set(answer, id);
        sink.onHead(...head);
      },
      onData: (chunk) => {
        touch();
        sink.onData(chunk);
      },
      onEnd: (endedBy) => {
        end();
        sink.onEnd(endedBy);
      },
      onFailure: (failure) => {
        end();
        sink.onFailure(failure);
      },
    };
    const setPaused = (isPaused: boolean) => {
      touch();
      answer.isPaused = isPaused;
    };
    return { watched, end, setPaused };
  };

  /** Opens the connection from this box; `onUnreached` is called instead of a failure before anything is sent. */
  const openDirect = (
    { server, build, sink }: ServerRequest,
    onUnreached: (failure: ExchangeFailure) => void,
  ): Exchange => {
    const { entry } = server;
    const startedAt = clock.monotonic();
    const built = attemptMake(build);
    if (built.err) {
      const { detail } = built.val;
      onEvent({ kind: "call_unsendable", server: entry.id, detail });
      return failUnsent(clock, built.val, sink);
    }
    const request = built.val;
    const limit = request.connectLimit;
    const connectLimit = carriers.hasAny() ? paths.computeWait(entry, limit) : limit;
    const watch = watchAnswer(entry.id, sink, () => {
      exchange.cancel();
      sink.onFailure({ kind: "broken", detail: "silent over a lost path" });
    });
    const own = openOwn(
      { ...request, connectLimit },
      {
        ...watch.watched,
        onConnected: () =>
          paths.recordConnected(entry, (clock.monotonic() - startedAt) as Ms),
        onFailure: (failure) => {
          if (failure.kind !== "unreachable") {
            watch.watched.onFailure(failure);
            return;
          }
          paths.recordUnreached(entry, toUnreachedCause(failure.detail));
          onUnreached(failure);
        },
      },
    );
    const exchange: Exchange = {
      ...own,
      cancel: () => {
        watch.end();
        own.cancel();
      },
      cancelFor: (excess) => {
        watch.end();
        own.cancelFor(excess);
      },
      pause: () => {
        watch.setPaused(true);
        own.pause();
      },
      resume: () => {
        watch.setPaused(false);
        own.resume();
      },
    };
    return exchange;
  };

  return {
    open: (request) => {
      const { server, sink } = request;
      const { id } = server.entry;
      const mayCarry = () => carriers.hasAny() && !paths.isDown(id);
      let isCancelled = false;
      let current: Exchange;

      const carry = (onNotCarried: (failure: NotCarried) => void) => {
        current = openCarriedExchange(deps, { ...request, onNotCarried });
      };
      const recordNotCarried = ({ unreached }: NotCarried) => {
        if (unreached !== undefined) paths.recordDown(server.entry, unreached);
      };
      const carryAfter = (direct: ExchangeFailure) => {
        if (isCancelled) return;
        if (!mayCarry()) {
          sink.onFailure(direct);
          return;
        }
        carry((failure) => {
          recordNotCarried(failure);
          sink.onFailure(toUnreachable(direct, failure));
        });
      };
      const carryFirst = () =>
        carry((failure) => {
          recordNotCarried(failure);
          // Without a carrier the own path is the only way, and may be back.
          current = openDirect(request, (direct) =>
            sink.onFailure(toUnreachable(direct, failure)),
          );
        });

      if (paths.isLost(id) && mayCarry()) carryFirst();
      else current = openDirect(request, carryAfter);

      return {
        cancel: () => {
          isCancelled = true;
          current.cancel();
        },
        cancelFor: (excess) => {
          isCancelled = true;
          current.cancelFor(excess);
        },
        pause: () => current.pause(),
        resume: () => current.resume(),
        isSent: () => current.isSent(),
      };
    },
    breakSilent: () => {
      const latest = clock.monotonic() - SILENT_MS;
      for (const [answer, id] of [...begunAnswers]) {
        if (answer.isPaused || answer.receivedAt > latest || !paths.isLost(id)) continue;
        begunAnswers.delete(answer);
        answer.breakOff();
      }
    },
  };
};
