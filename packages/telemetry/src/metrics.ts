/** Prometheus metrics of a process. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_SECONDS = [0.01, 0.03, 0.1, 0.31, 1, 3, 10, 30, 100];
const GAP_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** The metrics of one process. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics and their registry. */
export const createMetrics = () => {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  return {
    registry,
    requests: new Counter({
      name: "stairgauge_requests_total",
      help: "Callers' requests by interface and how they ended",
      labelNames: ["interface", "end"],
      registers,
    }),
    refusals: new Counter({
      name: "stairgauge_refusals_total",
      help: "Requests answered with an error, by its code",
      labelNames: ["code"],
      registers,
    }),
    decisions: new Counter({
      name: "stairgauge_decisions_total",
      help: "Routing and placement decisions, by kind and reason",
      labelNames: ["kind", "reason"],
      registers,
    }),
    droppedFrames: new Counter({
      name: "stairgauge_dropped_frames_total",
      help: "Engine frames not delivered, by reason",
      labelNames: ["reason"],
      registers,
    }),
    linkFailures: new Counter({
      name: "stairgauge_link_failures_total",
      help: "Broken exchanges with engines, by failure",
      labelNames: ["kind"],
      registers,
    }),
    tokens: new Counter({
      name: "stairgauge_tokens_relayed_total",
      help: "Tokens handed to callers",
      registers,
    }),
    openStreams: new Gauge({
      name: "stairgauge_open_streams",
      help: "Generations that callers wait for or read",
      registers,
    }),
    waiting: new Gauge({
      name: "stairgauge_waiting_requests",
      help: "Requests that wait for a place",
      registers,
    }),
    leavingServers: new Gauge({
      name: "stairgauge_leaving_servers",
      help: "Backend servers that the platform's list marks as leaving",
      registers,
    }),
    bundleVersion: new Gauge({
      name: "stairgauge_bundle_version",
      help: "Version of the bundle in force, 0 before the first",
      registers,
    }),
    headFailures: new Counter({
      name: "stairgauge_bundle_head_failures_total",
      help: "Heads that were not adopted, by reason",
      labelNames: ["kind"],
      registers,
    }),
    storeFailures: new Counter({
      name: "stairgauge_store_failures_total",
      help: "Failed calls to the platform, by store",
      labelNames: ["store"],
      registers,
    }),
    firstToken: new Histogram({
      name: "stairgauge_first_token_seconds",
      help: "Time from a request's arrival to its first token",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    tokenGap: new Histogram({
      name: "stairgauge_token_gap_seconds",
      help: "Time between two tokens of one stream",
      buckets: GAP_BUCKETS_SECONDS,
      registers,
    }),
  };
};
