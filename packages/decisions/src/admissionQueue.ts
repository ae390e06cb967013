/**
 * Waiting requests: by tier, and within a tier by workspace in turn, so that one workspace's flood
 * does not starve another's.
 */
import type { GenerationRequest } from "./types.js";

type WorkspaceLine = { readonly requests: GenerationRequest[] };

/** Creates an empty queue. Ranks are tiers' ranks, 0 served first. */
export const createAdmissionQueue = () => {
  /** By rank; within it workspaces in the order of their next turn. */
  const tiers = new Map<number, Map<string, WorkspaceLine>>();
  let size = 0;

  const getLine = (rank: number, workspace: string): WorkspaceLine => {
    const lines = tiers.get(rank) ?? new Map<string, WorkspaceLine>();
    tiers.set(rank, lines);
    const line = lines.get(workspace) ?? { requests: [] };
    lines.set(workspace, line);
    return line;
  };

  /** Takes a request out; its workspace goes to the end of the turn. */
  const remove = (rank: number, request: GenerationRequest): boolean => {
    const lines = tiers.get(rank);
    const line = lines?.get(request.workspace);
    const at = line?.requests.findIndex((one) => one.id === request.id) ?? -1;
    if (!lines || !line || at < 0) return false;
    line.requests.splice(at, 1);
    size -= 1;
    lines.delete(request.workspace);
    if (line.requests.length > 0) lines.set(request.workspace, line);
    return true;
  };

  return {
    add: (rank: number, request: GenerationRequest) => {
      getLine(rank, request.workspace).requests.push(request);
      size += 1;
    },
    addFirst: (rank: number, request: GenerationRequest) => {
      getLine(rank, request.workspace).requests.unshift(request);
      size += 1;
    },
    remove,
    /** The head of each workspace's line, best tier first, in the order of turns. */
    listHeads: (): readonly Readonly<{ rank: number; request: GenerationRequest }>[] => {
      const ranks = [...tiers.keys()].sort((a, b) => a - b);
      return ranks.flatMap((rank) =>
        [...(tiers.get(rank)?.values() ?? [])].flatMap((line) => {
          const request = line.requests[0];
          return request ? [{ rank, request }] : [];
        }),
      );
    },
    listAll: (): readonly Readonly<{ rank: number; request: GenerationRequest }>[] =>
      [...tiers].flatMap(([rank, lines]) =>
        [...lines.values()].flatMap((line) =>
          line.requests.map((request) => ({ rank, request })),
        ),
      ),
    countWorkspace: (rank: number, workspace: string): number =>
      tiers.get(rank)?.get(workspace)?.requests.length ?? 0,
    getSize: () => size,
  };
};
