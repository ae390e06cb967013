/** A link from one box to another: a gRPC channel, and the streams of updates and table questions that are kept open on it. */
import {
  Client,
  connectivityState,
  credentials,
  type ClientDuplexStream,
} from "@grpc/grpc-js";
import type { BoxName, Clock, Ms, Random, Timer } from "@stairgauge/common";
import { createCancelInterceptor } from "./callResets.js";
import type { PeerService } from "./service.js";
import { createTableStream, type TableStream } from "./tableStream.js";
import type { HubNotice, Peer, RunUpdate } from "./types.js";

/** Options of a link. */
export type PeerLinkOptions = Readonly<{
  clock: Clock;
  random: Random;
  service: PeerService;
  /** The whole state, sent first on each new stream. */
  makeWhole: () => RunUpdate;
  onNotice: (notice: HubNotice, by: BoxName) => void;
}>;

/** A link to one box. */
export type PeerLink = Readonly<{
  peer: Peer;
  /** For unary calls. */
  client: Client;
  /** Asks for a table; open questions may still be answered after the link is closed. */
  askTable: TableStream["ask"];
  isUp: () => boolean;
  /** Sends an update; dropped without a stream, as a new stream begins with the whole state. */
  write: (update: RunUpdate) => void;
  close: () => void;
}>;

/** The pause between attempts to open a stream doubles from the first to the maximum. */
const FIRST_PAUSE_MS = 300;
const MAX_PAUSE_MS = 5_000;

/** An idle link is probed this often, so that a half-open connection is detected. */
const LINK_OPTIONS = {
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 1_500,
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2_000,
  "grpc.enable_retries": 0,
  // Links to the same address would share a connection, its limits and its end.
  "grpc.use_local_subchannel_pool": 1,
  // Nothing reads the library's own statistics, which cost several objects per connection and call.
  "grpc.enable_channelz": 0,
} as const;

/** Creates the options of one link. */
export const createLinkOptions = (clock: Clock) => ({
  ...LINK_OPTIONS,
  interceptors: [createCancelInterceptor(clock)],
});

/** Updates that may wait for a slow peer before its stream is cancelled and opened anew: some seconds of a busy box. */
const MAX_WAITING_UPDATES = 1_024;

/** Opens a link. Whenever its stream ends, it is opened anew and begins with the whole state. */
export const openPeerLink = (peer: Peer, options: PeerLinkOptions): PeerLink => {
  const { clock, random, makeWhole, onNotice } = options;
  const { reportRuns } = options.service;
  const { host, port } = peer.address;
  const client = new Client(
    `${host}:${port}`,
    credentials.createInsecure(),
    createLinkOptions(clock),
  );
  const tables = createTableStream({ clock, client, service: options.service });
  let stream: ClientDuplexStream<RunUpdate, HubNotice> | undefined;
  let retry: Timer | undefined;
  let pause = FIRST_PAUSE_MS;
  let isClosed = false;

  const scheduleRetry = () => {
    if (isClosed) return;
    retry?.cancel();
    const jittered = pause * (0.5 + random.nextFloat());
    pause = Math.min(MAX_PAUSE_MS, pause * 2);
    retry = clock.setTimer(jittered as Ms, () => void attemptOpen());
  };

  const openStream = () => {
    const whole = makeWhole();
    const opened = client.makeBidiStreamRequest(
      reportRuns.path,
      reportRuns.requestSerialize,
      reportRuns.responseDeserialize,
    );
    stream = opened;
    opened.on("metadata", () => {
      pause = FIRST_PAUSE_MS;
    });
    opened.on("data", (notice: HubNotice) => {
      if (stream === opened) onNotice(notice, peer.box);
    });
    // The status event follows; it opens the stream anew.
    opened.on("error", () => undefined);
    opened.on("status", () => {
      if (stream !== opened) return;
      stream = undefined;
      scheduleRetry();
    });
    opened.write(whole);
  };
  /** Opens the stream now, or later if that throws; the error is a rejection, so that the link itself stays usable. */
  const attemptOpen = () =>
    new Promise<void>((resolve) => {
      openStream();
      resolve();
    }).catch((error: unknown) => {
      scheduleRetry();
      throw error;
    });
  void attemptOpen();

  return {
    peer,
    client,
    askTable: tables.ask,
    isUp: () =>
      client.getChannel().getConnectivityState(false) === connectivityState.READY,
    write: (update) => {
      if (!stream) return;
      // The stream counts messages, not bytes.
      if (stream.writableLength > MAX_WAITING_UPDATES) stream.cancel();
      else stream.write(update);
    },
    close: () => {
      isClosed = true;
      retry?.cancel();
      // Its cancellation may wait behind others; the other box then ends it.
      stream?.end();
      stream?.cancel();
      stream = undefined;
      tables.close();
      client.close();
    },
  };
};
