/** Tests of the parser of request bodies. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseGeneration } from "./parseGeneration.js";

const MESSAGES = [{ role: "user", content: "hello" }];
const CHAT = { model: "m", messages: MESSAGES };

const findFailure = (body: unknown) => parseGeneration("chat", body).val;

describe("parseGeneration", () => {
  it("parses a chat request with content parts, limits and usage", () => {
    const ask = parseGeneration("chat", {
      ...CHAT,
      messages: [
        { role: "system", content: [{ type: "text", text: "be brief" }] },
        ...MESSAGES,
      ],
      stream: true,
      stream_options: { include_usage: true },
      max_completion_tokens: 9,
      stop: "END",
      user: "ignored",
      seed: 4,
    });
    expect(ask.val).toEqual({
      model: "m",
      prompt: "system: be brief\nuser: hello\nassistant:",
      maxTokens: 9,
      stop: ["END"],
      temperature: undefined,
      isStreamed: true,
      includesUsage: true,
    });
  });

  it.each([
    ["n", 2],
    ["tools", [{}]],
    ["logprobs", true],
    ["response_format", { type: "json_object" }],
    ["logit_bias", { "1": 1 }],
    ["modalities", ["audio"]],
  ])("rejects the unsupported field %s if it would change the answer", (param, value) => {
    expect(findFailure({ ...CHAT, [param]: value })).toEqual({
      kind: "unsupported_field",
      param,
    });
  });

  it.each([
    ["n", 1],
    ["tools", []],
    ["response_format", { type: "text" }],
  ])(
    "accepts the unsupported field %s if it does not change the answer",
    (param, value) => {
      expect(parseGeneration("chat", { ...CHAT, [param]: value }).ok).toBe(true);
    },
  );

  it.each([
    ["messages", { model: "m" }],
    ["messages.0.role", { model: "m", messages: [{ role: "king", content: "x" }] }],
    ["max_tokens", { ...CHAT, max_tokens: "many" }],
    ["max_tokens", { ...CHAT, max_tokens: 0 }],
    ["temperature", { ...CHAT, temperature: 9 }],
    ["model", { messages: MESSAGES }],
    ["body", [CHAT]],
    ["body", null],
  ])("rejects a body with the invalid field %s, and names the field", (param, body) => {
    expect(findFailure(body)).toMatchObject({ kind: "invalid_field", param });
  });

  it("does not throw for random JSON", () => {
    const run = fc.property(
      fc.jsonValue(),
      fc.constantFrom("chat", "completion"),
      (body, kind) => {
        const result = parseGeneration(kind, body);
        expect(typeof result.ok).toBe("boolean");
      },
    );
    fc.assert(run, { seed: 3, numRuns: 500 });
    const near = fc.record({
      model: fc.jsonValue(),
      messages: fc.jsonValue(),
      response_format: fc.jsonValue(),
      logit_bias: fc.jsonValue(),
    });
    const runNear = fc.property(near, (body) => {
      expect(parseGeneration("chat", body).ok).toBeTypeOf("boolean");
    });
    fc.assert(runNear, { seed: 4, numRuns: 500 });
  });
});
