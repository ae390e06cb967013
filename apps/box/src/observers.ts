/** Log lines and metrics of a box's decisions and of changes of its state. */
import type { AdmissionEvent } from "@stairgauge/admission";
import { assertNever, type Clock } from "@stairgauge/common";
import type { DirectoryEvent, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { ConfigurationEvent } from "@stairgauge/fleet";
import type {
  ActiveRun,
  ConfigurationView,
  ForwardDecision,
  ForwardObserver,
  StreamHandover,
} from "@stairgauge/forwarding";
import type { LimitEvent, SharedLimit } from "@stairgauge/limits";
import type { MoveDecision, StandbyDecision } from "@stairgauge/migration";
import type { OddPart, PeerMessage } from "@stairgauge/peers";
import type { BackoffEvent } from "@stairgauge/backoffs";
import type { EraChange, RestoreReport } from "@stairgauge/storefeed";
import type { PaceRegistryOptions } from "@stairgauge/pace";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { roundNumbers } from "./roundNumbers.js";

type Sinks = Readonly<{ log: DecisionLog; metrics: BoxMetrics }>;

const MS_PER_S = 1000;

const END_KINDS: ReadonlySet<ForwardDecision["kind"]> = new Set([
  "refused",
  "answered",
  "stream_ended",
  "stream_lost",
  "client_left",
]);

/** Decisions whose times are compared with the aims of the route. */
const TIMED_END_KINDS: ReadonlySet<ForwardDecision["kind"]> = new Set([
  "answered",
  "stream_ended",
]);

/**
 * Classifies how a decision ends a stream: complete, lost, or left by its client; undefined if
 * it ends none.
 */
const classifyStreamEnd = (decision: ForwardDecision) => {
  switch (decision.kind) {
    case "stream_ended":
      return { framing: decision.framing, end: "whole" } as const;
    case "stream_lost":
      return { framing: decision.framing, end: "lost" } as const;
    case "out_of_time":
    case "stop_reached":
    case "client_left": {
      if (decision.events === 0) return undefined;
      const end = decision.kind === "client_left" ? "left" : "lost";
      return { framing: decision.framing, end } as const;
    }
    default:
      return undefined;
  }
};

/** Compares the software versions of the servers between which a stream passed. */
const compareVersions = ({ fromVersion, toVersion }: StreamHandover) => {
  if (fromVersion === undefined || toVersion === undefined) return "unknown";
  return fromVersion === toVersion ? "same" : "other";
};

/** Writes decisions about requests to the log and the metrics. */
export const observeForwarding = (
  options: Sinks & Readonly<{ configuration: ConfigurationView }>,
): ForwardObserver => {
  const { log, metrics, configuration } = options;
  return {
    onDecision: ({ head, route, sinceReceived }, decision) => {
      const { kind, ...inputs } = decision;
      metrics.decisions.inc({ kind });
      if (decision.kind === "placed" && decision.limited) metrics.limitedSent.inc();
      const streamEnd = classifyStreamEnd(decision);
      if (decision.kind === "continued" || decision.kind === "resumed")
        metrics.streamHandovers.inc({ by: kind, version: compareVersions(decision) });
      if (streamEnd)
        metrics.streamEnds.inc({
          framing: streamEnd.framing ?? "none",
          end: streamEnd.end,
        });
      if (END_KINDS.has(kind))
        metrics.answerSeconds.observe({ end: kind }, sinceReceived / MS_PER_S);
      log.writeDecision(kind, {
        request: head.id,
        route: route?.name,
        afterMs: Math.round(sinceReceived),
        version: configuration.getIndex()?.configuration.version,
        versionAgeMs: Math.round(configuration.getAge()),
        ...roundNumbers(inputs),
        ...(TIMED_END_KINDS.has(kind) && {
          aimMs: route?.firstAnswerAim,
          pauseAimMs: route?.pauseAim,
        }),
      });
    },
  };
};

/** Writes decisions about requests that wait for capacity to the log and the metrics. */
export const observeAdmission =
  ({ log, metrics }: Sinks) =>
  (event: AdmissionEvent): void => {
    const { kind, sharer, request, waiting, ...inputs } = event;
    // The subject may be the client's key, which is never logged.
    const { service, tier, workspace } = sharer;
    metrics.waitingRequests.set({ service }, waiting);
    switch (event.kind) {
      case "waits":
        if (event.ratePerSecond !== undefined)
          metrics.freeSlotsPerSecond.set({ service }, event.ratePerSecond);
        break;
      case "refused":
        metrics.admissionRefusals.inc({ reason: event.reason });
        metrics.waitSeconds.observe({ end: kind }, event.waited / MS_PER_S);
        break;
      case "placed":
      case "left":
        metrics.waitSeconds.observe({ end: kind }, event.waited / MS_PER_S);
        break;
      default:
        assertNever(event);
    }
    const names = { request, service, tier, workspace };
    log.writeDecision(`admission_${kind}`, {
      ...names,
      waiting,
      ...roundNumbers(inputs),
    });
  };

/** Writes moves of runs and standby copies to the log and the metrics. */
export const observeMoves =
  ({ log, metrics }: Sinks) =>
  (run: ActiveRun, decision: MoveDecision | StandbyDecision): void => {
    const { kind, ...inputs } = decision;
    metrics.moves.inc({ kind });
    log.writeDecision(kind, { request: run.id, events: run.getEventsMade(), ...inputs });
  };

/** Writes changes of the list of servers to the log and the metrics. */
export const observeServers = (
  { log, metrics }: Sinks,
  directory: ServerDirectory,
  event: DirectoryEvent,
): void => {
  const { entry, leaving } = event.server;
  metrics.knownServers.set(directory.list().filter((server) => !server.leaving).length);
  log.writeDecision(`server_${event.kind}`, {
    server: entry.id,
    service: entry.service,
    softwareVersion: entry.softwareVersion,
    address: `${entry.address.host}:${entry.address.port}`,
    hall: entry.dataHall,
    reason: leaving?.reason,
  });
};

/** Writes limits that servers announce to the log and the metrics. */
export const observeLimits =
  ({
    log,
    metrics,
    listLimits,
  }: Sinks & Readonly<{ listLimits: () => readonly SharedLimit[] }>) =>
  (event: LimitEvent): void => {
    const { kind, ...fields } = event;
    const limits = listLimits();
    metrics.limitedServers.set(limits.length);
    metrics.limitedPerSecond.set(limits.reduce((sum, one) => sum + one.perSecond, 0));
    log.writeNotice(`server_limit_${kind}`, roundNumbers(fields));
  };

/** Writes backoffs that servers ask of this box to the log and the metrics. */
export const observeBackoffs =
  ({
    log,
    metrics,
    listBackingOff,
  }: Sinks & Readonly<{ listBackingOff: () => readonly ServerId[] }>) =>
  (event: BackoffEvent): void => {
    const { kind, ...fields } = event;
    metrics.restingServers.set(listBackingOff().length);
    log.writeNotice(`server_rest_${kind}`, roundNumbers(fields));
  };

/** Writes changes of the active configuration to the log and the metrics. */
export const observeConfiguration = (
  { log, metrics }: Sinks,
  event: ConfigurationEvent,
): void => {
  switch (event.kind) {
    case "adopted": {
      const { version, routes, workspaces } = event.configuration;
      metrics.configurationVersion.set(version);
      log.writeNotice("configuration_adopted", {
        version,
        routes: routes.length,
        workspaces: workspaces?.length,
      });
      return;
    }
    case "store_lost":
      metrics.storeFailures.inc({ table: "configuration", kind: event.failure.kind });
      log.writeWarning("store_lost", { failure: event.failure });
      return;
    case "store_regained":
      log.writeNotice("store_regained", {});
      return;
    case "older_ignored":
    case "unreadable":
      log.writeWarning(`configuration_${event.kind}`, event);
  }
};

/**
 * Logs and counts restores of the store from a copy, and how each table differs from the rows
 * read before.
 */
export const observeEras = ({ log, metrics }: Sinks, clock: Clock) => {
  let noticedAt = clock.monotonic();
  return {
    onEraChange: ({ table, by, before, revision: after }: EraChange): void => {
      noticedAt = clock.monotonic();
      metrics.storeEra.set(after.era);
      log.writeNotice("store_era_changed", { table, by, before, after });
    },
    onRestored: (table: string, report: RestoreReport): void => {
      const counts = {
        undone: report.undone.length,
        missing: report.missing.length,
        withheld: report.withheld.length,
      };
      for (const [as, count] of Object.entries(counts))
        metrics.restoredRows.inc({ table, as }, count);
      log.writeNotice("table_restored", {
        table,
        revision: report.revision,
        rows: report.rows,
        ...counts,
        tookMs: Math.round(clock.monotonic() - noticedAt),
      });
    },
  };
};

/** Counts messages between boxes. */
export const observePeers =
  ({ metrics }: Pick<Sinks, "metrics">) =>
  ({ call, direction, bytes }: PeerMessage): void => {
    metrics.peerMessages.inc({ call, direction });
    metrics.peerBytes.inc({ call, direction }, bytes);
  };

/** Counts the parts of other boxes' messages that can't be read, and logs the first one of each field. */
export const observeOddParts = ({ log, metrics }: Sinks) => {
  const logged = new Set<string>();
  return ({ call, field }: OddPart): void => {
    metrics.unreadableParts.inc({ call, field });
    const name = `${call} ${field}`;
    if (logged.has(name)) return;
    logged.add(name);
    log.writeWarning("peer_part_unreadable", { call, field });
  };
};

/** Writes changes of service times to the log, and how far expectations were off to the metrics. */
export const observePaces = ({
  log,
  metrics,
}: Sinks): Pick<PaceRegistryOptions, "onEvent" | "onObservation"> => ({
  onEvent: ({ kind, ...fields }) => log.writeDecision(kind, roundNumbers(fields)),
  onObservation: ({ measure, ratio }) => metrics.paceRatio.observe({ measure }, ratio),
});
