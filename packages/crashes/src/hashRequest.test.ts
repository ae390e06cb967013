import { describe, expect, it } from "vitest";
import { hashRequest, type RequestContent } from "./index.js";

const REQUEST: RequestContent = {
  host: "site.example",
  target: "/verdict/1?a=b",
  caller: "workspace",
  body: Buffer.from("text"),
};

describe("hashRequest", () => {
  it("returns the same digest for a repeated request", () => {
    const again = { ...REQUEST, body: Buffer.from("text") };
    expect(hashRequest(again)).toBe(hashRequest(REQUEST));
    expect(hashRequest(REQUEST)).toMatch(/^[0-9a-f]{32}$/);
  });

  it.each<[string, Partial<RequestContent>]>([
    ["host", { host: "other.example" }],
    ["path", { target: "/verdict/2?a=b" }],
    ["query", { target: "/verdict/1?a=c" }],
    ["caller", { caller: "other" }],
    ["caller (none)", { caller: undefined }],
    ["body", { body: Buffer.from("texts") }],
  ])("returns another digest for another %s", (_, change) => {
    expect(hashRequest({ ...REQUEST, ...change })).not.toBe(hashRequest(REQUEST));
  });

  it("returns different digests when text moves from the caller to the body", () => {
    const head = { ...REQUEST, caller: "w", body: Buffer.from('"]x') };
    const moved = { ...REQUEST, caller: 'w"]', body: Buffer.from("x") };
    expect(hashRequest(head)).not.toBe(hashRequest(moved));
  });
});
