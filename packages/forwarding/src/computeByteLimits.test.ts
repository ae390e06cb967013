import { describe, expect, it } from "vitest";
import { computeByteLimits } from "./computeByteLimits.js";

const MB = 1024 * 1024;
const SET = { bodiesMb: 32, unreadMb: 16, carriedMb: 16, answersMb: 16 };

describe("computeByteLimits", () => {
  it("keeps what was set where the machine has memory for it, or its memory is not known", () => {
    const limits = {
      bodies: 32 * MB,
      unread: 16 * MB,
      carried: 16 * MB,
      answers: 16 * MB,
    };
    expect(computeByteLimits({ ...SET, memoryMb: undefined })).toEqual(limits);
    expect(computeByteLimits({ ...SET, memoryMb: 600 })).toEqual(limits);
  });

  it("leaves three tenths of a small machine's memory to bytes of clients and servers at most", () => {
    const limits = computeByteLimits({ ...SET, memoryMb: 160 });
    expect(limits).toEqual({
      bodies: 20 * MB,
      unread: 10 * MB,
      carried: 10 * MB,
      answers: 8 * MB,
    });
  });
});
