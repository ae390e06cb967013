/** Takes the updates of other boxes. */
import {
  Metadata,
  Server,
  ServerCredentials,
  status,
  type sendUnaryData,
  type ServerDuplexStream,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import type { BoxName } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import { hasNews } from "./makeNotice.js";
import { createPeerService, type PeerMessage } from "./service.js";
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

/** What is done with updates. */
export type PeerServerOptions = Readonly<{
  onUpdate: (update: RunUpdate) => void;
  /** What a box is told whose stream has just come up. */
  makeGreeting: (box: BoxName) => HubNotice;
  /** A box's stream has ended: what it told is no longer kept up. */
  onPeerLost: (box: BoxName) => void;
  /** Another box asks for a table. */
  answerTable: Answerer<TableQuestion, TableAnswer>;
  /** Another box asks where a run should go; it has left when the signal says so. */
  answerPlace: Answerer<PlaceQuestion, PlaceAnswer>;
  /** Another box asks for what leaves an engine and where to. */
  answerMoves: Answerer<MovesQuestion, MovesAnswer>;
  onMessage: (message: PeerMessage) => void;
}>;

type Answerer<Question, Answer> = (
  question: Question,
  signal: AbortSignal,
) => Promise<Answer>;

/** The listener for other boxes. */
export type PeerServer = Readonly<{
  listen: (address: ServerAddress) => Promise<number>;
  /** Tells the boxes named, as far as their streams stand. */
  notify: (boxes: readonly BoxName[], notice: HubNotice) => void;
  /** Tells all boxes whose streams stand. */
  notifyAll: (notice: HubNotice) => void;
  close: () => void;
}>;

type UpdateStream = ServerDuplexStream<RunUpdate, HubNotice>;

/** A box whose link is half open is found, and what it told forgotten, as soon as it finds so itself. */
const SERVER_OPTIONS = {
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 1_500,
} as const;

/** Creates the listener. */
export const createPeerServer = (options: PeerServerOptions): PeerServer => {
  const server = new Server(SERVER_OPTIONS);
  /** The stream that counts for a box: a box that came back opens another. */
  const streams = new Map<BoxName, UpdateStream>();

  const sendGreeting = (box: BoxName, stream: UpdateStream) => {
    const greeting = options.makeGreeting(box);
    if (hasNews(greeting)) stream.write(greeting);
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
  const handleBy =
    <Question, Answer>(answerQuestion: Answerer<Question, Answer>) =>
    (call: ServerUnaryCall<Question, Answer>, send: sendUnaryData<Answer>) => {
      const left = new AbortController();
      call.on("cancelled", () => left.abort());
      answerQuestion(call.request, left.signal).then(
        (answer) => send(null, answer),
        (error: unknown) => send({ code: status.INTERNAL, details: String(error) }),
      );
    };
  server.addService(createPeerService(options.onMessage), {
    tellRuns: handleStream,
    askTable: handleBy(options.answerTable),
    askPlace: handleBy(options.answerPlace),
    askMoves: handleBy(options.answerMoves),
  });

  return {
    listen: ({ host, port }) =>
      new Promise((resolve, reject) => {
        server.bindAsync(
          `${host}:${port}`,
          ServerCredentials.createInsecure(),
          (error, bound) => {
            if (error) reject(error);
            else resolve(bound);
          },
        );
      }),
    notify: (boxes, notice) => {
      for (const box of boxes) streams.get(box)?.write(notice);
    },
    notifyAll: (notice) => {
      for (const stream of streams.values()) stream.write(notice);
    },
    close: () => server.forceShutdown(),
  };
};
