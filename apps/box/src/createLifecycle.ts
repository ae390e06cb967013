/** Starts and stops a box: its listeners, and the parts that work on their own. */
import {
  listenWhenFree,
  START_LIMIT_MS,
  toHostAndPort,
  type Clock,
  type Ms,
} from "@stairgauge/common";
import type { BlockedList } from "@stairgauge/crashes";
import type { ReportPoller } from "@stairgauge/fleet";
import type { ActiveRuns, ClientServer, Forwarder } from "@stairgauge/forwarding";
import type { StandbyKeeper } from "@stairgauge/migration";
import type { VersionRows } from "@stairgauge/origins";
import type { Membership, PeerLinks, PeerServer } from "@stairgauge/peers";
import type { LoopMeter } from "@stairgauge/saturation";
import type { BoxSettings } from "@stairgauge/settings";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { FollowedTables } from "./createFollowedTables.js";
import type { Pace } from "./createPace.js";
import { computeStopTimes } from "./computeStopTimes.js";
import type { Paths } from "./createPaths.js";
import type { PeerAddress } from "./peerAddress.js";
import { createMetricsServer, createReadyServer } from "./smallServers.js";
import { stopInOrder } from "./stopInOrder.js";

/** Ports that a started box listens on. */
export type BoxPorts = Readonly<{
  clients: number;
  ready: number;
  metrics: number;
  peers: number;
}>;

/** A box that can be started and stopped. */
export type Lifecycle = Readonly<{
  /** Rejects if a port can't be bound in time, or if the box is stopped before. */
  start: () => Promise<BoxPorts>;
  /**
   * Stops accepting requests, finishes those that are open, and resolves when the process may
   * exit. A second call returns the same promise.
   */
  stop: () => Promise<void>;
}>;

export type LifecycleOptions = Readonly<{
  getSettings: () => BoxSettings;
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  /** Whether what the box knows is current enough for new clients. */
  isCurrent: () => boolean;
  peerAddress: PeerAddress;
  clientServer: ClientServer;
  forwarder: Pick<
    Forwarder,
    "announceStop" | "countOpen" | "endUnanswered" | "breakBegun"
  >;
  followedTables: Pick<FollowedTables, "start" | "startOwnLists" | "stop">;
  blockedList: Pick<BlockedList, "start" | "stop">;
  versionRows: Pick<VersionRows, "start" | "stop">;
  membership: Pick<Membership, "join" | "leave">;
  reports: Pick<ReportPoller, "stop">;
  standbys: Pick<StandbyKeeper, "start" | "stop">;
  links: Pick<PeerLinks, "setSeeds" | "close">;
  peerServer: Pick<PeerServer, "listen" | "close">;
  pace: Pick<Pace, "stop">;
  paths: Pick<Paths, "announceStop" | "countCarried" | "endCarried" | "stop">;
  runs: Pick<ActiveRuns, "count">;
  meter: LoopMeter;
}>;

/** Creates the lifecycle of a box that has not been started. */
export const createLifecycle = (options: LifecycleOptions): Lifecycle => {
  const { getSettings, clock, log, peerAddress } = options;
  const { clientServer, forwarder, followedTables, blockedList } = options;
  const { membership, reports, standbys, links, peerServer, runs } = options;
  let stopped: Promise<void> | undefined;
  let hasJoined = false;
  const readyServer = createReadyServer(
    options,
    () => stopped === undefined && options.isCurrent(),
  );
  const metricsServer = createMetricsServer(options);

  const listSeeds = () =>
    getSettings().seeds.map(toHostAndPort).filter(peerAddress.isOther);

  const getGrace = () => (getSettings().bounds.stopSeconds * 1000) as Ms;

  /** Begins to listen at all ports. */
  const listen = () => {
    const addresses = getSettings().listen;
    const shared = {
      clock,
      log,
      // The process before this one may take its whole stop time.
      limit: (START_LIMIT_MS + getGrace()) as Ms,
      isStopped: () => stopped !== undefined,
    };
    const clients = listenWhenFree({
      ...shared,
      listener: "clients",
      address: toHostAndPort(addresses.clients),
      listen: ({ host, port }) => clientServer.listen(host, port),
    });
    const ready = listenWhenFree({
      ...shared,
      listener: "ready",
      address: toHostAndPort(addresses.ready),
      listen: ({ host, port }) => readyServer.listen(host, port),
    });
    const peers = listenWhenFree({
      ...shared,
      listener: "peers",
      address: peerAddress.get(),
      listen: peerServer.listen,
    });
    const metrics = listenWhenFree({
      ...shared,
      listener: "metrics",
      address: toHostAndPort(addresses.metrics),
      listen: ({ host, port }) => metricsServer.listen(host, port),
    });
    return { clients, all: Promise.all([clients, ready, peers, metrics]) };
  };

  /** Requests of this box's clients, and those that it carries for other boxes. */
  const countOpen = () => forwarder.countOpen() + options.paths.countCarried();

  /** A box that never joined leaves the row of its name to the process that wrote it. */
  const leave = async () => {
    if (hasJoined) await membership.leave();
  };

  /** Settings that change meanwhile may shorten the stop: the process may be killed at the earlier end. */
  const createEnds = () => {
    const begunAt = clock.monotonic();
    let grace = getGrace();
    return () => {
      grace = Math.min(grace, getGrace()) as Ms;
      return computeStopTimes(begunAt, grace);
    };
  };

  const stopOnce = async () => {
    const getEnds = createEnds();
    forwarder.announceStop(() => getEnds().answersEndAt);
    options.paths.announceStop();
    log.writeNotice("stopping", { open: countOpen(), runs: runs.count() });
    await stopInOrder({
      clock,
      // A connection that was accepted may bring a request once it is read.
      countOpen: () => countOpen() + clientServer.readBacklog().count,
      countClosing: clientServer.countClosing,
      getEnds,
      leave,
      onLeaveFailure: (error) =>
        log.writeWarning("unexpected_error", { error: String(error) }),
      endUnanswered: () => {
        forwarder.endUnanswered();
        options.paths.endCarried();
      },
      breakBegun: forwarder.breakBegun,
    });
    followedTables.stop();
    blockedList.stop();
    options.versionRows.stop();
    reports.stop();
    standbys.stop();
    options.pace.stop();
    options.paths.stop();
    options.meter.stop();
    links.close();
    peerServer.close();
    clientServer.close();
    readyServer.close();
    metricsServer.close();
    log.writeNotice("stopped", { open: countOpen() });
  };

  return {
    start: async () => {
      // Starts what clients wait for first: after a loss of all boxes no request is served
      // before.
      followedTables.start();
      options.versionRows.start();
      const listening = listen();
      // Clients are served while another port is awaited. While theirs is, the process before may still hold it, whose links
      // to other boxes bear the same name as those of this one.
      await Promise.race([listening.clients, listening.all]);
      links.setSeeds(listSeeds());
      followedTables.startOwnLists();
      blockedList.start();
      standbys.start();
      options.meter.start();
      const [clients, ready, peers, metrics] = await listening.all;
      const ports = { clients, ready, metrics, peers };
      peerAddress.setPort(peers);
      // A row that is written after the box has left would stay in the list.
      if (stopped === undefined) {
        hasJoined = true;
        membership.join();
      }
      log.writeNotice("started", { ports, policy: getSettings().policy });
      return ports;
    },
    stop: () => {
      stopped ??= stopOnce();
      return stopped;
    },
  };
};
