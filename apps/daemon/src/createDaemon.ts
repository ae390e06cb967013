/** Wires one entry box together. */
import { indexBundle, type ActiveBundle, type BundleIndex } from "@stairgauge/bundle";
import {
  createSystemClock,
  createSystemRandom,
  listenWhenFree,
  START_LIMIT_MS,
  toHostAndPort,
  type Ms,
  type Timer,
} from "@stairgauge/common";
import { createOnceGuard, createWriteBatcher } from "@stairgauge/claims";
import { createServiceRouter } from "@stairgauge/decisions";
import { createHttpEngineClient } from "@stairgauge/engines";
import { createAnswerRegistry, createEntryServer } from "@stairgauge/entry";
import type { HttpServer, TlsIdentity } from "@stairgauge/http";
import { createServerListWatcher } from "@stairgauge/membership";
import { createHttpPlatform } from "@stairgauge/stores";
import { createRelay } from "@stairgauge/relay";
import { createHeadWatcher, type WatchFailure } from "@stairgauge/rollout";
import { createHttpServiceClient } from "@stairgauge/services";
import type { Settings } from "@stairgauge/settings";
import { createMetrics, type Logger } from "@stairgauge/telemetry";
import { createOperatorsServer } from "./operatorsServer.js";

/** Ports that a started daemon listens on. */
export type DaemonPorts = Readonly<{ callers: number; operators: number }>;

/** A box that can be started and stopped. */
export type Daemon = Readonly<{
  /** Waits for ports in use. Rejects if one can't be bound in time, or if the box is stopped before. */
  start: () => Promise<DaemonPorts>;
  /** Takes no new work, lets running answers finish, then closes. Called again, it hastens. */
  stop: () => Promise<void>;
  /** Resolves once a bundle is in force. */
  waitForBundle: () => Promise<void>;
}>;

/** What the shell around a daemon gives it. */
export type DaemonOptions = Readonly<{
  settings: Settings;
  logger: Logger;
  tls?: TlsIdentity | undefined;
}>;

/** Creates a box from its settings. */
export const createDaemon = ({ settings, logger, tls }: DaemonOptions): Daemon => {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const metrics = createMetrics();
  const platform = createHttpPlatform(settings.platform);
  const engines = createHttpEngineClient();
  const services = createHttpServiceClient();
  const resumeGrace = settings.resumeGraceMs as Ms;
  const relay = createRelay({ clock, random, engines, logger, metrics, resumeGrace });
  const answers = createAnswerRegistry();
  const { table } = platform;
  const callsPerSecond = settings.claimCallsPerSecond;
  const batcher = createWriteBatcher({ table, clock, callsPerSecond });
  const onceGuard = createOnceGuard({ table, batcher, random, clock });
  let index: BundleIndex | undefined;
  let isStopping = false;
  /** Whether callers are served; their port may be another process's before. */
  let isListening = false;
  let graceTimer: Timer | undefined;
  let stopped: Promise<void> | undefined;
  let resolveBundle: () => void = () => undefined;
  const bundleAdopted = new Promise<void>((resolve) => {
    resolveBundle = resolve;
  });

  const adopt = (active: ActiveBundle) => {
    index = indexBundle(active);
    relay.adopt(index);
    const { version, digest } = active.head;
    metrics.bundleVersion.set(version);
    logger.info({ version, digest }, "bundle in force");
    resolveBundle();
  };
  const recordWatchFailure = (failure: WatchFailure) => {
    if (failure.kind === "store_unavailable")
      metrics.storeFailures.inc({ store: "platform" });
    else metrics.headFailures.inc({ kind: failure.kind });
    logger.warn({ failure }, "no newer bundle could be taken");
  };
  const watcher = createHeadWatcher({
    platform,
    rules: {
      trusted: settings.signOff.trustedOperators,
      approvalsNeeded: settings.signOff.approvalsNeeded,
    },
    clock,
    interval: settings.bundlePollMs as Ms,
    onAdopted: adopt,
    onFailure: recordWatchFailure,
  });

  const serviceRouter = createServiceRouter(random);
  const listWatcher = createServerListWatcher({
    platform,
    clock,
    interval: settings.serverListPollMs as Ms,
    onLeavingChange: (server, isLeaving) => {
      logger.info({ server, isLeaving }, "server marked by the platform's list");
      metrics.leavingServers.inc(isLeaving ? 1 : -1);
      relay.markServer(server, isLeaving);
      serviceRouter.markLeaving(server, isLeaving);
    },
    onFailure: () => metrics.storeFailures.inc({ store: "boxes" }),
  });

  const entryServer = createEntryServer({
    clock,
    random,
    logger,
    metrics,
    relay,
    services,
    serviceRouter,
    onceGuard,
    getIndex: () => index,
    resumeKeys: settings.resumeKeys,
    bodyLimits: {
      maxBytes: settings.limits.bodyBytes,
      idleTimeout: settings.limits.bodyIdleMs as Ms,
      totalTimeout: settings.limits.bodyTotalMs as Ms,
    },
    tls,
    answers,
  });
  const findNotReadyReason = () => {
    if (isStopping) return "stopping";
    if (!isListening) return "not_listening";
    return index ? undefined : "no_bundle";
  };
  const operatorsServer = createOperatorsServer({
    metrics,
    logger,
    findNotReadyReason,
    getStatus: () => ({
      box: settings.box,
      dataHall: settings.dataHall,
      bundleVersion: index?.active.head.version ?? 0,
      bundleDigest: index?.active.head.digest,
      openAnswers: answers.count(),
      isStopping,
    }),
  });

  const hasten = () => {
    graceTimer?.cancel();
    relay.refuseWaiting();
    answers.endAllForResume();
  };
  const drain = async () => {
    isStopping = true;
    logger.info({ openAnswers: answers.count() }, "stopping: no new work");
    watcher.stop();
    listWatcher.stop();
    graceTimer = clock.setTimer(settings.drainGraceMs as Ms, hasten);
    const callersClosed = entryServer.close();
    await answers.closeAndWait();
    graceTimer.cancel();
    await callersClosed;
    relay.stop();
    await Promise.all([
      operatorsServer.close(),
      engines.close(),
      services.close(),
      platform.close(),
    ]);
    logger.info("stopped");
  };

  const listen = (listener: keyof DaemonPorts, address: string, { open }: HttpServer) =>
    listenWhenFree({
      clock,
      log: {
        writeNotice: (event, fields) => logger.info(fields, event),
        writeWarning: (event, fields) => logger.warn(fields, event),
      },
      listener,
      address: toHostAndPort(address),
      listen: ({ host, port }) => open(host, port),
      // The process before this one may take its whole stop time.
      limit: (START_LIMIT_MS + settings.drainGraceMs) as Ms,
      isStopped: () => isStopping,
    });

  const listenForCallers = async () => {
    const port = await listen("callers", settings.listen, entryServer);
    isListening = true;
    return port;
  };

  return {
    start: async () => {
      watcher.start();
      listWatcher.start();
      const [callers, operators] = await Promise.all([
        listenForCallers(),
        listen("operators", settings.operatorsListen, operatorsServer),
      ]);
      return { callers, operators };
    },
    stop: () => {
      if (stopped) hasten();
      stopped ??= drain();
      return stopped;
    },
    waitForBundle: () => bundleAdopted,
  };
};
