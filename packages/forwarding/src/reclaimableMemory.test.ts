import { describe, expect, it } from "vitest";
import { createReclaimableMemory } from "./reclaimableMemory.js";

describe("createReclaimableMemory", () => {
  it("takes memory back from those that hold some longest, until the rest fits", () => {
    const memory = createReclaimableMemory(100);
    const lost: string[] = [];
    const [first, second, third] = ["first", "second", "third"].map((name) =>
      memory.open(() => lost.push(name)),
    );
    first!.set(40);
    second!.set(40);
    first!.set(20);
    third!.set(40);
    expect(lost).toEqual([]);
    third!.set(60);
    expect(lost).toEqual(["first"]);
    second!.set(0);
    first!.set(10);
    third!.set(95);
    expect(lost).toEqual(["first", "third"]);
  });
});
