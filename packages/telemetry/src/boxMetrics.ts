/** Prometheus metrics of a box. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_SECONDS = [0.03, 0.1, 0.3, 0.6, 1, 1.8, 3, 6, 12, 40];

/** The metrics of one box. */
export type BoxMetrics = ReturnType<typeof createBoxMetrics>;

/** Creates the metrics and their registry. */
export const createBoxMetrics = () => {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    decisions: new Counter({
      name: "stairgauge_decisions_total",
      help: "Decisions about requests, by kind",
      labelNames: ["kind"],
      registers,
    }),
    streamEnds: new Counter({
      name: "stairgauge_stream_ends_total",
      help: "Ended streams, by the framing of their last answer (none: it had no head) and how they ended",
      labelNames: ["framing", "end"],
      registers,
    }),
    moves: new Counter({
      name: "stairgauge_moves_total",
      help: "Steps of moves of runs between engines, by kind",
      labelNames: ["kind"],
      registers,
    }),
    storeFailures: new Counter({
      name: "stairgauge_store_failures_total",
      help: "Failed calls to the platform's store, by table and failure",
      labelNames: ["table", "kind"],
      registers,
    }),
    storeEra: new Gauge({
      name: "stairgauge_store_era",
      help: "Era of the platform's store since its last restore from a backup, 0 before this box has seen a restore",
      registers,
    }),
    restoredRows: new Counter({
      name: "stairgauge_store_restored_rows_total",
      help: "Rows of a restored store that differ from what the box had on record, by table and difference: undone, missing, withheld",
      labelNames: ["table", "as"],
      registers,
    }),
    configurationVersion: new Gauge({
      name: "stairgauge_configuration_version",
      help: "Version of the configuration in force, 0 before the first",
      registers,
    }),
    knownServers: new Gauge({
      name: "stairgauge_known_servers",
      help: "Backend servers that get new work",
      registers,
    }),
    blockedRequests: new Gauge({
      name: "stairgauge_blocked_requests",
      help: "Requests that are blocked because servers crashed while running them",
      registers,
    }),
    serverSigns: new Counter({
      name: "stairgauge_server_signs_total",
      help: "Signals of servers about themselves in their answers, by signal and value",
      labelNames: ["sign", "is"],
      registers,
    }),
    restingServers: new Gauge({
      name: "stairgauge_resting_servers",
      help: "Backend servers that asked this box for a backoff and get no requests from it until it ends",
      registers,
    }),
    limitedServers: new Gauge({
      name: "stairgauge_limited_servers",
      help: "Backend servers that have announced a request limit",
      registers,
    }),
    limitedPerSecond: new Gauge({
      name: "stairgauge_limited_per_second",
      help: "Requests per second that servers with an announced limit accept from all boxes together",
      registers,
    }),
    limitedSent: new Counter({
      name: "stairgauge_limited_sent_total",
      help: "Requests placed on servers that have announced a limit",
      registers,
    }),
    peerMessages: new Counter({
      name: "stairgauge_peer_messages_total",
      help: "Messages between boxes, by call and direction",
      labelNames: ["call", "direction"],
      registers,
    }),
    peerBytes: new Counter({
      name: "stairgauge_peer_bytes_total",
      help: "Bytes of messages between boxes, by call and direction",
      labelNames: ["call", "direction"],
      registers,
    }),
    peerLinks: new Gauge({
      name: "stairgauge_peer_links",
      help: "Open links from this box to other boxes",
      registers,
    }),
    answerSeconds: new Histogram({
      name: "stairgauge_answer_seconds",
      help: "Time from a request to the end of its answer",
      labelNames: ["end"],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
  };
};
