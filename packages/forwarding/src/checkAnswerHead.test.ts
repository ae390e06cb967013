/** Guards against an answer whose head can't be written to the client: its request would never end. */
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { findHeadFault } from "./checkAnswerHead.js";

const anyCharacter = fc
  .integer({ min: 0, max: 0x120 })
  .map((code) => String.fromCharCode(code));
const anyText = fc.string({ unit: anyCharacter, maxLength: 12 });
const anyHead = fc.record({
  status: fc.oneof(fc.integer({ min: -1, max: 1_100 }), fc.constant(200)),
  reason: fc.oneof(anyText, fc.constant("OK")),
  headers: fc
    .array(fc.tuple(fc.oneof(anyText, fc.constant("X-Any")), anyText), { maxLength: 3 })
    .map((pairs) => pairs.flat()),
});

describe("findHeadFault", () => {
  it("lets through only heads that can be written (property)", async () => {
    const heads = fc.sample(anyHead, { numRuns: 3_000, seed: 1 });
    const failures: unknown[] = [];
    let passed = 0;
    const server = createServer((_, response) => {
      for (const head of heads) {
        if (findHeadFault(head)) continue;
        passed += 1;
        // Each head is written to an answer of its own that is never sent.
        const answer = Object.create(response) as typeof response;
        try {
          answer.writeHead(head.status, head.reason, head.headers);
        } catch (error) {
          failures.push([head, error]);
        }
      }
      response.destroy();
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise<void>((resolve) => {
      request({ host: "127.0.0.1", port })
        .on("error", () => resolve())
        .end();
    });
    server.close();
    expect(failures).toEqual([]);
    expect(passed).toBeGreaterThan(100);
  });

  it("finds what a parser lets through", () => {
    const head = { status: 200, reason: "OK", headers: ["X-Any", "value"] };
    expect(findHeadFault(head)).toBeUndefined();
    expect(findHeadFault({ ...head, reason: "" })).toBeUndefined();
    expect(findHeadFault({ ...head, reason: "O\x01" })).toEqual({
      kind: "reason_phrase",
    });
    expect(findHeadFault({ ...head, status: 99 })).toEqual({
      kind: "status",
      status: 99,
    });
    expect(findHeadFault({ ...head, status: 599 })).toBeUndefined();
    expect(findHeadFault({ ...head, status: 600 })).toEqual({
      kind: "status",
      status: 600,
    });
    expect(findHeadFault({ ...head, headers: ["a b", ""] })).toEqual({
      kind: "header_name",
      index: 0,
    });
    expect(findHeadFault({ ...head, headers: ["a", "\x7f"] })).toEqual({
      kind: "header_value",
      name: "a",
    });
  });
});
