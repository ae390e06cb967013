/** Prometheus metrics of a box. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_SECONDS = [0.03, 0.1, 0.3, 0.6, 1, 1.8, 3, 6, 12, 40];

/** Targets of plain requests begin at 125 ms; generations wait up to 1.6 s. */
const WAIT_BUCKETS_SECONDS = [0.01, 0.03, 0.06, 0.125, 0.25, 0.5, 1, 2, 4];
const PACE_RATIO_BUCKETS = [0.25, 0.5, 0.67, 0.8, 1, 1.25, 1.5, 2, 4];

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
      help: "Decisions that touched a request, by kind",
      labelNames: ["kind"],
      registers,
    }),
    streamEnds: new Counter({
      name: "stairgauge_stream_ends_total",
      help: "Streams that ended, by how their last answer was framed (none: it had no head) and how they ended",
      labelNames: ["framing", "end"],
      registers,
    }),
    streamHandovers: new Counter({
      name: "stairgauge_stream_handovers_total",
      help: "Started streams that went on at another server, by how (continued, resumed) and whether its software has the same version",
      labelNames: ["by", "version"],
      registers,
    }),
    moves: new Counter({
      name: "stairgauge_moves_total",
      help: "Steps of moving runs between engines, by kind",
      labelNames: ["kind"],
      registers,
    }),
    storeFailures: new Counter({
      name: "stairgauge_store_failures_total",
      help: "Calls of the platform's store that brought nothing, by table and failure",
      labelNames: ["table", "kind"],
      registers,
    }),
    unreadableRows: new Counter({
      name: "stairgauge_store_unreadable_rows_total",
      help: "Changes of rows of which a part can't be read, by table and part: key, value, version",
      labelNames: ["table", "fault"],
      registers,
    }),
    failedTableSteps: new Counter({
      name: "stairgauge_table_steps_failed_total",
      help: "Answers about a table that could not be applied since a step threw, by table; the table is read whole again",
      labelNames: ["table"],
      registers,
    }),
    storeEra: new Gauge({
      name: "stairgauge_store_era",
      help: "Era of the platform's store since it last came back from a copy, 0 before it has under this box",
      registers,
    }),
    restoredRows: new Counter({
      name: "stairgauge_store_restored_rows_total",
      help: "Rows in which the store's copy differed from what was known, by table and how: undone, missing, withheld",
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
      help: "Requests that are kept from servers, since servers ended under them",
      registers,
    }),
    serverSigns: new Counter({
      name: "stairgauge_server_signs_total",
      help: "What servers said of themselves in answers, by what it was about and what it said",
      labelNames: ["sign", "is"],
      registers,
    }),
    restingServers: new Gauge({
      name: "stairgauge_resting_servers",
      help: "Backend servers that have turned this box away, and get nothing of it for a while",
      registers,
    }),
    limitedServers: new Gauge({
      name: "stairgauge_limited_servers",
      help: "Backend servers that have named how many requests they take",
      registers,
    }),
    limitedPerSecond: new Gauge({
      name: "stairgauge_limited_per_second",
      help: "Requests a second that servers with a limit take from all boxes together",
      registers,
    }),
    limitedSent: new Counter({
      name: "stairgauge_limited_sent_total",
      help: "Requests placed at servers that have named a limit",
      registers,
    }),
    waitingRequests: new Gauge({
      name: "stairgauge_waiting_requests",
      help: "Requests that wait at this box for capacity, by service",
      labelNames: ["service"],
      registers,
    }),
    waitSeconds: new Histogram({
      name: "stairgauge_wait_seconds",
      help: "Time that requests waited at this box for capacity, by how the wait ended: placed, refused, left",
      labelNames: ["end"],
      buckets: WAIT_BUCKETS_SECONDS,
      registers,
    }),
    admissionRefusals: new Counter({
      name: "stairgauge_admission_refusals_total",
      help: "Requests refused for lack of capacity, by reason: no_room, too_late",
      labelNames: ["reason"],
      registers,
    }),
    freeSlotsPerSecond: new Gauge({
      name: "stairgauge_free_slots_per_second",
      help: "Rate at which slots of a service become free while requests wait for them",
      labelNames: ["service"],
      registers,
    }),
    capacityDecisions: new Counter({
      name: "stairgauge_capacity_decisions_total",
      help: "Decisions about plain services with too little capacity, by kind",
      labelNames: ["kind"],
      registers,
    }),
    contendedServices: new Gauge({
      name: "stairgauge_contended_services",
      help: "Plain services that showed signs of too little capacity in the last seconds",
      registers,
    }),
    plainWaitSeconds: new Histogram({
      name: "stairgauge_plain_wait_seconds",
      help: "Time that plain requests waited at this box for a slot, by how the wait ended",
      labelNames: ["end"],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    unreadableParts: new Counter({
      name: "stairgauge_peer_unreadable_parts_total",
      help: "Parts of other boxes' messages that can't be read and were left out, by call and field",
      labelNames: ["call", "field"],
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
      help: "Links that the box holds to others",
      registers,
    }),
    unreachable: new Counter({
      name: "stairgauge_unreachable_total",
      help: "Attempts without a connection to their server, by whether other boxes had requests there",
      labelNames: ["others"],
      registers,
    }),
    lostPaths: new Gauge({
      name: "stairgauge_lost_paths",
      help: "Backend servers that this box does not reach although other boxes do",
      registers,
    }),
    answersOverLimit: new Counter({
      name: "stairgauge_answers_over_limit_total",
      help: "Answers of servers that were given up since they exceed a limit on what may be read in vain, by limit",
      labelNames: ["limit"],
      registers,
    }),
    answersInSmallPieces: new Counter({
      name: "stairgauge_answers_in_small_pieces_total",
      help: "Answers of servers whose rest was read in turn with long reads, since they came in small pieces",
      registers,
    }),
    unsendableCalls: new Counter({
      name: "stairgauge_unsendable_calls_total",
      help: "Calls to servers that could not be made, as a value does not fit into a head",
      registers,
    }),
    carrySteps: new Counter({
      name: "stairgauge_carry_steps_total",
      help: "Steps of requests sent by way of another box: carried, carrier_passed_over, carrier_lost",
      labelNames: ["step"],
      registers,
    }),
    carriedForOthers: new Gauge({
      name: "stairgauge_carried_for_others",
      help: "Requests of other boxes that this box carries, when it last took one",
      registers,
    }),
    loopBusyShare: new Gauge({
      name: "stairgauge_event_loop_busy_share",
      help: "Share of the last quarter of a second in which the event loop was not idle; near 1, the box lacks processor time",
      registers,
    }),
    processorShare: new Gauge({
      name: "stairgauge_processor_share",
      help: "Processor time that the box got in the last quarter of a second, as a share of one processor",
      registers,
    }),
    processorShort: new Counter({
      name: "stairgauge_processor_short_total",
      help: "Changes of whether the box lacks processor time, by what it changed to: short, enough",
      labelNames: ["to"],
      registers,
    }),
    turnedAway: new Counter({
      name: "stairgauge_connections_turned_away_total",
      help: "Connections of clients that were closed unread, by reason: no_room while the box lacks processor time; waited_too_long, out_of_reach if it could not read them in time",
      labelNames: ["reason"],
      registers,
    }),
    connectionsLimited: new Counter({
      name: "stairgauge_connections_limited_total",
      help: "Connections that were ended for others, by listener and limit: idle, too_many_connections, too_many_calls where there were too many; sent_ahead, answer_unread where they held too much memory; answer_too_late; sent_behind",
      labelNames: ["listener", "limit"],
      registers,
    }),
    unevenServices: new Gauge({
      name: "stairgauge_uneven_services",
      help: "Services whose servers' service times differ so far that requests are placed by them",
      registers,
    }),
    paceRatio: new Histogram({
      name: "stairgauge_pace_ratio",
      help: "Expected over observed service time of servers, by measure: answer, reading (time per prompt token), event",
      labelNames: ["measure"],
      buckets: PACE_RATIO_BUCKETS,
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
