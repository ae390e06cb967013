/**
 * Records this box's plain requests as runs without tokens while their service is contended, so that
 * the admitting box and those that may follow it know of them. While a service is open, nothing is
 * reported for its requests.
 */
import type { ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import { createPlainRun, type LoadRegistry } from "@stairgauge/placement";

/** Options of the records. */
export type PlainRunsOptions = Readonly<{
  registry: Pick<LoadRegistry, "addRun" | "removeRun">;
  isContended: (service: ServiceName) => boolean;
  /** Whether the server is still listed; nothing is recorded for one that has gone. */
  isListed: (server: ServerId) => boolean;
}>;

/** The plain requests of one box. */
export type PlainRuns = Readonly<{
  /** A request was sent to a server. */
  add: (server: BackendServer, id: string) => void;
  /** A request has ended at a server. */
  remove: (server: BackendServer, id: string) => void;
  /** Records the open requests of a service that has become contended. */
  recordOpen: (service: ServiceName) => void;
}>;

type OpenRequest = { readonly service: ServiceName; isRecorded: boolean };

/** Creates the records; there are no requests. */
export const createPlainRuns = (options: PlainRunsOptions): PlainRuns => {
  const { registry, isContended, isListed } = options;
  const openByServer = new Map<ServerId, Map<string, OpenRequest>>();

  const record = (server: ServerId, id: string, request: OpenRequest) => {
    if (request.isRecorded || !isListed(server)) return;
    request.isRecorded = true;
    registry.addRun(server, createPlainRun(id));
  };

  return {
    add: ({ entry }, id) => {
      const open = openByServer.get(entry.id) ?? new Map<string, OpenRequest>();
      const request = { service: entry.service, isRecorded: false };
      open.set(id, request);
      openByServer.set(entry.id, open);
      if (isContended(entry.service)) record(entry.id, id, request);
    },
    remove: ({ entry }, id) => {
      const open = openByServer.get(entry.id);
      const request = open?.get(id);
      open?.delete(id);
      if (open?.size === 0) openByServer.delete(entry.id);
      if (request?.isRecorded) registry.removeRun(entry.id, id);
    },
    recordOpen: (service) => {
      for (const [server, open] of openByServer)
        for (const [id, request] of open)
          if (request.service === service) record(server, id, request);
    },
  };
};
