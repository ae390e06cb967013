/** Runs an at-most-once call: claims its key, sends it, and stores its answer for repeats. */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { ClaimedCall, OnceKey } from "@stairgauge/claims";
import type { KeptAnswer } from "@stairgauge/outcomes";
import { sendFailure, type ApiFailure } from "./apiError.js";
import { callService, type ServiceCallRequest } from "./callService.js";
import { MAX_ONCE_ANSWER_BYTES } from "./constants.js";
import { sendKeptAnswer, toKeptAnswer } from "./keptAnswer.js";
import { registerServiceAnswer } from "./registerServiceAnswer.js";
import { copyHeaders } from "./serviceTarget.js";
import type { EntryDeps } from "./types.js";

/** An at-most-once call to a plain service. */
export type OnceServiceCall = Readonly<{
  call: ServiceCallRequest;
  key: OnceKey;
  contentHash: string;
}>;

/**
 * Claims and runs the call. A call that has been sent goes on even if its caller disconnects, so that
 * the stored answer can be sent when the caller repeats the call.
 */
export const runOnceService = (
  deps: EntryDeps,
  { call, key, contentHash }: OnceServiceCall,
  response: ServerResponse,
): void => {
  const { finish } = registerServiceAnswer(deps);
  const fail = (failure: ApiFailure) => {
    sendFailure(response, failure, deps.metrics);
    finish("failed");
  };

  const send = (claimed: ClaimedCall) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let status = 0;
    let headers: IncomingHttpHeaders = {};

    const collect = (chunk: Buffer): boolean => {
      size += chunk.length;
      if (size <= MAX_ONCE_ANSWER_BYTES) chunks.push(chunk);
      return true;
    };
    const finishWhole = async () => {
      const body = Buffer.concat(chunks);
      const kept: KeptAnswer = toKeptAnswer({
        status,
        headers: copyHeaders(headers),
        body,
      });
      const isKept = size <= MAX_ONCE_ANSWER_BYTES;
      if (isKept) sendKeptAnswer(response, kept);
      else sendFailure(response, { kind: "once_answer_too_large" }, deps.metrics);
      await claimed.recordAnswer(isKept ? kept : undefined);
      finish("whole");
    };

    callService(deps, call, {
      onHead: (headStatus, headHeaders) => {
        status = headStatus;
        headers = headHeaders;
      },
      onData: collect,
      onEnd: () => void finishWhole(),
      onFailure: (failure, outcome) => {
        sendFailure(response, { kind: "service_failed", failure, outcome }, deps.metrics);
        void claimed.recordFailure(outcome).then(() => finish("failed"));
      },
    });
  };

  deps.onceGuard.claim(
    { key, contentHash },
    {
      onSend: send,
      onReplay: (kept) => {
        sendKeptAnswer(response, kept);
        finish("whole");
      },
      onRefused: (reason, outcome) => fail({ kind: "once_refused", reason, outcome }),
    },
  );
};
