/**
 * Carries requests of boxes that have lost their paths: sends each to its server as it is, over this
 * box's own path, and passes the answer back as it arrives. Nothing is decided here; the asking box
 * chose the server and evaluates the answer.
 */
import { assertNever, type Clock, type Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type {
  AnswerCarry,
  CarriedHandlers,
  CarryBounds,
  CarryFrame,
  CarryQuestion,
  CarryRefusal,
  ServerPaths,
} from "@stairgauge/paths";
import {
  toUnreachedCause,
  toUnreachedDetail,
  type OpenOwnExchange,
} from "./serverExchanges.js";

/** Dependencies of the carrier. */
export type CarryForOthersDeps = Readonly<{
  clock: Clock;
  bounds: Pick<CarryBounds, "take">;
  paths: Pick<
    ServerPaths,
    | "isDoubtful"
    | "findServerFailure"
    | "computeWait"
    | "recordConnected"
    | "recordUnreached"
  >;
  findServer: (server: ServerId) => BackendServer | undefined;
  isLeaving: (server: BackendServer) => boolean;
  isStopping: () => boolean;
  /** Whether this box has the processor time for one more request. */
  hasRoom: () => boolean;
  connectLimit: Ms;
  openOwn: OpenOwnExchange;
}>;

const NOT_CARRIED: CarriedHandlers = {
  onCancelled: () => undefined,
  onDrain: () => undefined,
};

/** Carries for other boxes until it is told to end. */
export type CarryForOthers = Readonly<{
  answerCarry: AnswerCarry;
  /** Ends all that is carried, so that the asking boxes answer: they learn that it was not sent, or that it may have run. */
  endAll: () => void;
}>;

/** Creates the carrier. */
export const createCarryForOthers = (deps: CarryForOthersDeps): CarryForOthers => {
  const { clock, bounds, paths, findServer, isLeaving, isStopping, openOwn } = deps;

  const ends = new Set<() => void>();

  const decideRefusal = (
    server: BackendServer | undefined,
    { isNewWork }: CarryQuestion,
  ): CarryRefusal | undefined => {
    if (isStopping()) return "stopping";
    if (!server) return "server_unknown";
    if (isNewWork && isLeaving(server)) return "server_leaving";
    if (!deps.hasRoom()) return "no_room";
    return paths.isDoubtful(server.entry.id) ? "path_lost" : undefined;
  };

  const answerCarry: AnswerCarry = (question, answer) => {
    const endWith = (frame: CarryFrame): CarriedHandlers => {
      answer.write(frame);
      answer.end();
      return NOT_CARRIED;
    };
    const refuse = (reason: CarryRefusal) => endWith({ kind: "refused", reason });
    const server = findServer(question.server);
    const failure = paths.findServerFailure(question.server);
    // Another attempt would tell no more, and a mere refusal makes the asking box ask all others.
    if (server && failure)
      return endWith({ kind: "unreached", detail: toUnreachedDetail(failure) });
    const refusal = decideRefusal(server, question);
    if (refusal !== undefined || !server) return refuse(refusal ?? "server_unknown");
    const releaseRoom = bounds.take(question.body.length);
    if (!releaseRoom) return refuse("no_room");
    const release = () => {
      ends.delete(endForStop);
      releaseRoom();
    };

    const { entry } = server;
    const startedAt = clock.monotonic();
    const finishWith = (frame: CarryFrame) => {
      release();
      answer.write(frame);
      answer.end();
    };
    const endForStop = () => {
      exchange.cancel();
      if (!exchange.isSent()) finishWith({ kind: "refused", reason: "stopping" });
      else {
        // A call that ends without the end of an answer counts as that of a carrier that was lost.
        release();
        answer.end();
      }
    };
    const exchange = openOwn(
      {
        ...question,
        address: entry.address,
        connectLimit: paths.computeWait(entry, deps.connectLimit),
      },
      {
        onConnected: () => {
          paths.recordConnected(entry, (clock.monotonic() - startedAt) as Ms);
          answer.write({ kind: "connected" });
        },
        onHead: (status, headers, reason) =>
          void answer.write({ kind: "head", status, reason, headers }),
        onData: (bytes) => {
          if (!answer.write({ kind: "data", bytes })) exchange.pause();
        },
        onEnd: (by) => finishWith({ kind: "ended", by }),
        onFailure: ({ kind, detail }) => {
          switch (kind) {
            case "unreachable":
              paths.recordUnreached(entry, toUnreachedCause(detail));
              finishWith({ kind: "unreached", detail });
              return;
            case "unsendable":
              finishWith({ kind: "refused", reason: "unsendable" });
              return;
            case "malformed":
              finishWith({ kind: "failed", as: kind, detail });
              return;
            case "broken":
            case "carrier_lost":
              finishWith({ kind: "failed", as: "broken", detail });
              return;
            default:
              assertNever(kind);
          }
        },
      },
    );
    ends.add(endForStop);
    return {
      onCancelled: () => {
        release();
        exchange.cancel();
      },
      onDrain: exchange.resume,
    };
  };
  return {
    answerCarry,
    endAll: () => {
      for (const endForStop of [...ends]) endForStop();
    },
  };
};
