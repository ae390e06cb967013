/** One link of a box to another: its channel, and the stream of updates that it keeps open. */
import {
  Client,
  connectivityState,
  credentials,
  type ClientDuplexStream,
} from "@grpc/grpc-js";
import type { BoxName, Clock, Ms, Random, Timer } from "@stairgauge/common";
import type { PeerService } from "./service.js";
import type { HubNotice, Peer, RunUpdate } from "./types.js";

/** What a link needs. */
export type PeerLinkOptions = Readonly<{
  clock: Clock;
  random: Random;
  service: PeerService;
  /** The whole state, for a stream that has just been opened. */
  makeWhole: () => RunUpdate;
  onNotice: (notice: HubNotice, by: BoxName) => void;
}>;

/** A link. */
export type PeerLink = Readonly<{
  peer: Peer;
  /** For calls that are answered once. */
  client: Client;
  isUp: () => boolean;
  write: (update: RunUpdate) => void;
  close: () => void;
}>;

/** Pauses between tries at a box that cannot be reached. */
const FIRST_PAUSE_MS = 300;
const MAX_PAUSE_MS = 5_000;

/** A link is probed this often when nothing is said, so that a half-open one is found. */
const LINK_OPTIONS = {
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 1_500,
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2_000,
  "grpc.enable_retries": 0,
} as const;

/** Updates that may wait for a slow peer before its stream is opened anew. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Opens a link; its stream is opened again, with the whole state, whenever it ends. */
export const openPeerLink = (peer: Peer, options: PeerLinkOptions): PeerLink => {
  const { clock, random, makeWhole, onNotice } = options;
  const { tellRuns } = options.service;
  const { host, port } = peer.address;
  const client = new Client(
    `${host}:${port}`,
    credentials.createInsecure(),
    LINK_OPTIONS,
  );
  let stream: ClientDuplexStream<RunUpdate, HubNotice> | undefined;
  let retry: Timer | undefined;
  let pause = FIRST_PAUSE_MS;
  let isClosed = false;

  const scheduleRetry = () => {
    if (isClosed) return;
    retry?.cancel();
    const jittered = pause * (0.5 + random.nextFloat());
    pause = Math.min(MAX_PAUSE_MS, pause * 2);
    retry = clock.setTimer(jittered as Ms, openStream);
  };

  const openStream = () => {
    const opened = client.makeBidiStreamRequest(
      tellRuns.path,
      tellRuns.requestSerialize,
      tellRuns.responseDeserialize,
    );
    stream = opened;
    opened.on("metadata", () => {
      pause = FIRST_PAUSE_MS;
    });
    opened.on("data", (notice: HubNotice) => onNotice(notice, peer.box));
    // Told again with the status, by which the stream is opened anew.
    opened.on("error", () => undefined);
    opened.on("status", () => {
      if (stream !== opened) return;
      stream = undefined;
      scheduleRetry();
    });
    opened.write(makeWhole());
  };
  openStream();

  return {
    peer,
    client,
    isUp: () =>
      client.getChannel().getConnectivityState(false) === connectivityState.READY,
    write: (update) => {
      if (!stream) return;
      if (stream.writableLength > MAX_BUFFERED_BYTES) stream.cancel();
      else stream.write(update);
    },
    close: () => {
      isClosed = true;
      retry?.cancel();
      stream?.cancel();
      stream = undefined;
      client.close();
    },
  };
};
