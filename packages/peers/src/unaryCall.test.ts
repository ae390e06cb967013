/** Guards against a question on a link that was closed this moment, which threw: its request waited for an answer until its deadline. */
import { Client, credentials } from "@grpc/grpc-js";
import { describe, expect, it } from "vitest";
import { callUnary } from "./unaryCall.js";

const METHOD = {
  path: "/peers/Ask",
  requestSerialize: (text: string) => Buffer.from(text),
  responseDeserialize: (bytes: Buffer) => bytes.toString(),
};

describe("a question on a closed link", () => {
  it("is answered with a failure", async () => {
    const client = new Client("127.0.0.1:9", credentials.createInsecure());
    client.close();
    const target = { client, method: METHOD };
    const answer = await callUnary(target, "a", new AbortController().signal);
    expect(answer.err && answer.val.kind).toBe("failed");
  });
});
