/** The one call between boxes: a stream of updates, which nobody answers but by ending it. */
import type { ServiceDefinition } from "@grpc/grpc-js";
import { decodeUpdate, encodeUpdate } from "./updateCodec.js";
import type { RunUpdate } from "./types.js";

/** The call's definition, shared by both ends. */
export const peerService = {
  tellRuns: {
    path: "/stairgauge.Peers/TellRuns",
    requestStream: true,
    responseStream: false,
    requestSerialize: (update: RunUpdate) => encodeUpdate(update),
    requestDeserialize: (bytes: Buffer) => decodeUpdate(bytes),
    responseSerialize: () => Buffer.alloc(0),
    responseDeserialize: () => undefined,
  },
} as const satisfies ServiceDefinition;
