/**
 * Queue of waiting requests, ordered by tier. Workspaces of one tier take turns, so that many requests
 * of one workspace do not starve the others.
 */
import type { GenerationRequest } from "./types.js";

/** Waiting requests of one workspace, oldest first. */
type WorkspaceQueue = { readonly requests: GenerationRequest[] };

/** Creates an empty queue. A rank is a tier's rank; rank 0 is served first. */
export const createAdmissionQueue = () => {
  /** Queues by rank, then by workspace in the order of their next turns. */
  const tiers = new Map<number, Map<string, WorkspaceQueue>>();
  let size = 0;

  const getQueue = (rank: number, workspace: string): WorkspaceQueue => {
    const queues = tiers.get(rank) ?? new Map<string, WorkspaceQueue>();
    tiers.set(rank, queues);
    const queue = queues.get(workspace) ?? { requests: [] };
    queues.set(workspace, queue);
    return queue;
  };

  /** Removes a request and moves its workspace to the last turn; false if the request is not queued. */
  const remove = (rank: number, request: GenerationRequest): boolean => {
    const queues = tiers.get(rank);
    const queue = queues?.get(request.workspace);
    const position = queue?.requests.findIndex((one) => one.id === request.id) ?? -1;
    if (!queues || !queue || position < 0) return false;
    queue.requests.splice(position, 1);
    size -= 1;
    queues.delete(request.workspace);
    if (queue.requests.length > 0) queues.set(request.workspace, queue);
    return true;
  };

  return {
    add: (rank: number, request: GenerationRequest) => {
      getQueue(rank, request.workspace).requests.push(request);
      size += 1;
    },
    addFirst: (rank: number, request: GenerationRequest) => {
      getQueue(rank, request.workspace).requests.unshift(request);
      size += 1;
    },
    remove,
    /** The first waiting request of each workspace, best tier first, in the order of turns. */
    listHeads: (): readonly Readonly<{ rank: number; request: GenerationRequest }>[] => {
      const ranks = [...tiers.keys()].sort((a, b) => a - b);
      return ranks.flatMap((rank) =>
        [...(tiers.get(rank)?.values() ?? [])].flatMap((queue) => {
          const request = queue.requests[0];
          return request ? [{ rank, request }] : [];
        }),
      );
    },
    listAll: (): readonly Readonly<{ rank: number; request: GenerationRequest }>[] =>
      [...tiers].flatMap(([rank, queues]) =>
        [...queues.values()].flatMap((queue) =>
          queue.requests.map((request) => ({ rank, request })),
        ),
      ),
    countWorkspace: (rank: number, workspace: string): number =>
      tiers.get(rank)?.get(workspace)?.requests.length ?? 0,
    getSize: () => size,
  };
};
