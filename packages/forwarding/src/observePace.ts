/** Takes samples of servers' service times from the requests that a box forwards. */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import { createEventSampler, type EventSampler, type PaceSample } from "@stairgauge/pace";
import type { Attempt } from "./attempt.js";

/** Receives the samples, and knows what is expected. */
export type PaceObserver = Readonly<{
  record: (sample: PaceSample) => void;
  /** An engine is in a slow period in which a prompt would make its streams pause too long. */
  recordSlow: (server: BackendServer) => void;
  /** Expected time of a plain request; undefined if the service has no sample. */
  estimateWork: (service: ServiceName) => Ms | undefined;
}>;

/** Records how long a server took for a plain request that it answered with success. */
export const recordPlainAnswer = (
  pace: PaceObserver,
  clock: Pick<Clock, "monotonic">,
  { server, openedAt, requestsThere }: Attempt,
): void => {
  const { id, service, slots } = server.entry;
  const tookMs = clock.monotonic() - openedAt;
  pace.record({ kind: "answer", server: id, service, slots, tookMs, requestsThere });
};

/** Options of a stream's sampler. */
export type StreamSamplerOptions = Readonly<{
  pace: PaceObserver;
  /** Longest pause that the route allows. */
  targetMs: number | undefined;
  /** The server whose events arrive; undefined between two servers. */
  findServer: () => BackendServer | undefined;
}>;

/** Creates the sampler of the gaps between the events of one stream. */
export const createStreamSampler = ({
  pace,
  targetMs,
  findServer,
}: StreamSamplerOptions): EventSampler =>
  createEventSampler({
    targetMs,
    onSample: (gaps) => {
      const entry = findServer()?.entry;
      if (entry) pace.record({ ...gaps, server: entry.id, service: entry.service });
    },
    onSlow: () => {
      const server = findServer();
      if (server) pace.recordSlow(server);
    },
  });
