/** The calls between boxes: a stream of updates, which nobody answers but by ending it, and questions for tables. */
import type { ServiceDefinition } from "@grpc/grpc-js";
import {
  decodeAnswer,
  decodeQuestion,
  encodeAnswer,
  encodeQuestion,
} from "./tableCodec.js";
import type { RunUpdate, TableAnswer, TableQuestion } from "./types.js";
import { decodeUpdate, encodeUpdate } from "./updateCodec.js";

/** The calls' definition, shared by both ends. */
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
  askTable: {
    path: "/stairgauge.Peers/AskTable",
    requestStream: false,
    responseStream: false,
    requestSerialize: (question: TableQuestion) => encodeQuestion(question),
    requestDeserialize: (bytes: Buffer) => decodeQuestion(bytes),
    responseSerialize: (answer: TableAnswer) => encodeAnswer(answer),
    responseDeserialize: (bytes: Buffer) => decodeAnswer(bytes),
  },
} as const satisfies ServiceDefinition;
