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
import { peerService } from "./service.js";
import type { HubNotice, RunUpdate, TableAnswer, TableQuestion } from "./types.js";

/** What is done with updates. */
export type PeerServerOptions = Readonly<{
  onUpdate: (update: RunUpdate) => void;
  /** A box's stream has ended: what it told is no longer kept up. */
  onPeerLost: (box: BoxName) => void;
  /** Another box asks for a table. */
  answerTable: (question: TableQuestion) => Promise<TableAnswer>;
}>;

/** The listener for other boxes. */
export type PeerServer = Readonly<{
  listen: (address: ServerAddress) => Promise<number>;
  /** Tells the boxes named, as far as their streams stand. */
  notify: (boxes: readonly BoxName[], notice: HubNotice) => void;
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
      streams.set(box, stream);
      options.onUpdate(update);
    });
    stream.on("error", loseBox);
    stream.on("end", loseBox);
    stream.on("cancelled", loseBox);
  };
  const handleQuestion = (
    call: ServerUnaryCall<TableQuestion, TableAnswer>,
    send: sendUnaryData<TableAnswer>,
  ) => {
    options.answerTable(call.request).then(
      (answer) => send(null, answer),
      (error: unknown) => send({ code: status.INTERNAL, details: String(error) }),
    );
  };
  server.addService(peerService, { tellRuns: handleStream, askTable: handleQuestion });

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
    close: () => server.forceShutdown(),
  };
};
