/** Serves the calls of other boxes: receives their updates, and answers their questions. */
import {
  Metadata,
  Server,
  status,
  type sendUnaryData,
  type ServerDuplexStream,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import type { BoxName } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import type { OriginAnswer, OriginQuestion } from "@stairgauge/origins";
import type { AnswerCarry } from "@stairgauge/paths";
import { createTableStreamHandler, NO_ROOM } from "./answerTableStream.js";
import { callAnswerer } from "./callAnswerer.js";
import { createCarryHandler } from "./carryCall.js";
import { hasContent } from "./makeNotice.js";
import { createPeerConnections, type PeerConnectionsOptions } from "./peerConnections.js";
import { createCallObserver, createPeerListener } from "./peerListener.js";
import { createPeerService, type OddPart, type PeerMessage } from "./service.js";
import type {
  HubNotice,
  MovesAnswer,
  MovesQuestion,
  PlaceAnswer,
  PlaceQuestion,
  RunUpdate,
  TableAnswer,
  TableQuestion,
} from "./types.js";

/** Handlers of a peer server. */
export type PeerServerOptions = Readonly<{
  onUpdate: (update: RunUpdate) => void;
  /** The first notice to a box whose stream has just been opened. */
  makeFirstNotice: (box: BoxName) => HubNotice;
  /** The stream of a box has ended: the state that it sent is no longer updated. */
  onPeerLost: (box: BoxName) => void;
  /** Another box asks for a table. */
  answerTable: Answerer<TableQuestion, TableAnswer>;
  /** Another box asks where a run should go; the signal aborts when that box has cancelled the call. */
  answerPlace: Answerer<PlaceQuestion, PlaceAnswer>;
  /** Another box asks which runs leave an engine, and where to. */
  answerMoves: Answerer<MovesQuestion, MovesAnswer>;
  /** Another box asks what a stream is bound to that a client takes up there. */
  answerOrigin: Answerer<OriginQuestion, OriginAnswer>;
  /** Another box asks this one to carry a request. */
  answerCarry: AnswerCarry;
  onMessage: (message: PeerMessage) => void;
  /** Called for each part of a message that can't be read, which is left out. */
  onOddPart?: ((part: OddPart) => void) | undefined;
}> &
  PeerConnectionsOptions;

type Answerer<Question, Answer> = (
  question: Question,
  signal: AbortSignal,
) => Promise<Answer>;

/** The server for calls of other boxes. */
export type PeerServer = Readonly<{
  /** Resolves to the port that it listens at; rejects if it cannot listen, and may then be called again. */
  listen: (address: ServerAddress) => Promise<number>;
  /** Sends a notice to those of the boxes whose streams are open. */
  notify: (boxes: readonly BoxName[], notice: HubNotice) => void;
  /** Sends a notice to all boxes whose streams are open. */
  notifyAll: (notice: HubNotice) => void;
  countConnections: () => number;
  close: () => void;
}>;

type UpdateStream = ServerDuplexStream<RunUpdate, HubNotice>;

/** Memory of one connection in MB, beyond which it gets no further call; a few of the largest answers. */
const MAX_SESSION_MB = 8;

/** Notices that may wait for a box; one that was suspended for as long is sent its state anew. */
const MAX_WAITING_NOTICES = 1_024;

/** A half-open connection is detected here as soon as at the other box; the state that the box sent is then dropped. */
const SERVER_OPTIONS = {
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 1_500,
  // Nothing reads the library's own statistics, which cost a listener and several objects per connection and call.
  "grpc.enable_channelz": 0,
  "grpc-node.max_session_memory": MAX_SESSION_MB,
} as const;

/** Creates a peer server. */
export const createPeerServer = (options: PeerServerOptions): PeerServer => {
  const connections = createPeerConnections(options);
  let encodedBytes = 0;
  const countMessage = (message: PeerMessage) => {
    if (message.direction === "sent") encodedBytes += message.bytes;
    options.onMessage(message);
  };
  const observeCall = createCallObserver({
    connections,
    countEncoded: () => encodedBytes,
  });
  const server = new Server({
    ...SERVER_OPTIONS,
    "grpc.max_concurrent_streams": options.limits.maxCallsOfConnection,
    interceptors: [observeCall],
  });
  const listener = createPeerListener(server, connections);
  /** The current stream of each box; a box that reconnects opens another one. */
  const streams = new Map<BoxName, UpdateStream>();

  const sendNotice = (stream: UpdateStream, notice: HubNotice) => {
    if (stream.writableLength < MAX_WAITING_NOTICES) stream.write(notice);
    else connections.endUnread(stream.getPeer());
  };
  const sendGreeting = (box: BoxName, stream: UpdateStream) => {
    const greeting = options.makeFirstNotice(box);
    if (hasContent(greeting)) sendNotice(stream, greeting);
  };

  const handleStream = (stream: UpdateStream) => {
    let box: BoxName | undefined;
    const loseBox = () => {
      stream.end();
      if (box === undefined || streams.get(box) !== stream) return;
      streams.delete(box);
      options.onPeerLost(box);
    };
    stream.sendMetadata(new Metadata());
    stream.on("data", (update: RunUpdate) => {
      box = update.box;
      const isNew = streams.get(box) !== stream;
      streams.set(box, stream);
      if (isNew) sendGreeting(box, stream);
      options.onUpdate(update);
    });
    stream.on("error", loseBox);
    stream.on("end", loseBox);
    stream.on("cancelled", loseBox);
  };
  const createHandler =
    <Question, Answer>(answerQuestion: Answerer<Question, Answer>) =>
    (call: ServerUnaryCall<Question, Answer>, send: sendUnaryData<Answer>) => {
      const cancellation = new AbortController();
      call.on("cancelled", () => cancellation.abort());
      callAnswerer(() => answerQuestion(call.request, cancellation.signal)).then(
        (answer) => {
          if (connections.hasRoom()) send(null, answer);
          else send({ code: status.RESOURCE_EXHAUSTED, details: NO_ROOM });
        },
        (error: unknown) => send({ code: status.INTERNAL, details: String(error) }),
      );
    };
  server.addService(createPeerService(countMessage, options.onOddPart), {
    reportRuns: handleStream,
    askTable: createHandler(options.answerTable),
    exchangeTables: createTableStreamHandler(options.answerTable, connections.hasRoom),
    askPlace: createHandler(options.answerPlace),
    askMoves: createHandler(options.answerMoves),
    askOrigin: createHandler(options.answerOrigin),
    carry: createCarryHandler(options.answerCarry),
  });

  return {
    listen: listener.listen,
    notify: (boxes, notice) => {
      for (const box of boxes) {
        const stream = streams.get(box);
        if (stream) sendNotice(stream, notice);
      }
    },
    notifyAll: (notice) => {
      for (const stream of streams.values()) sendNotice(stream, notice);
    },
    countConnections: connections.count,
    close: listener.close,
  };
};
