/** Guards against messages in small pieces that cost a box many times their bytes, and against losing or changing messages. */
import { once } from "node:events";
import { Readable } from "node:stream";
import { describe, expect, it } from "vitest";
import { createSeededRandom } from "@stairgauge/common";
import { joinPieces } from "./joinPieces.js";

const formatMessage = (body: string): Buffer => {
  const head = Buffer.alloc(5);
  head.writeUInt32BE(body.length, 1);
  return Buffer.concat([head, Buffer.from(body)]);
};

const splitBy = (bytes: Buffer, size: number): readonly Buffer[] =>
  Array.from({ length: Math.ceil(bytes.length / size) }, (_, i) =>
    bytes.subarray(i * size, (i + 1) * size),
  );

const setUp = () => {
  const stream = new Readable({ read: () => undefined });
  const seen = { unhandled: 0, most: 0, small: 0 };
  joinPieces(stream, {
    changeUnhandled: (bytes) => {
      seen.unhandled += bytes;
      seen.most = Math.max(seen.most, seen.unhandled);
    },
    onSmallPiece: () => {
      seen.small += 1;
    },
  });
  return { stream, seen };
};

const readAll = async (stream: Readable): Promise<readonly Buffer[]> => {
  const groups: Buffer[] = [];
  stream.on("data", (group: Buffer) => groups.push(group));
  await once(stream, "end");
  return groups;
};

describe("joinPieces", () => {
  it.each([1, 3, 7, 1_000, 100_000])(
    "hands on whole messages in order, in pieces of %i bytes",
    async (size) => {
      const random = createSeededRandom(size);
      const bodies = Array.from({ length: 60 }, (_, i) =>
        String(i % 10).repeat(Math.floor(random.nextFloat() * (i % 3) * 900)),
      );
      const bytes = Buffer.concat(bodies.map(formatMessage));
      const { stream, seen } = setUp();
      for (const piece of splitBy(bytes, size)) stream.push(piece);
      stream.push(null);
      const groups = await readAll(stream);
      expect(Buffer.concat(groups).equals(bytes)).toBe(true);
      expect(seen.unhandled).toBe(0);
    },
  );

  it("holds an incomplete message in one buffer of twice its bytes at most", () => {
    const { stream, seen } = setUp();
    const bytes = formatMessage("x".repeat(100_000)).subarray(0, -1);
    for (const piece of splitBy(bytes, 1)) stream.push(piece);
    expect(stream.readableLength).toBe(0);
    expect(seen.unhandled).toBeLessThanOrEqual(2 * bytes.length);
    expect(seen.small).toBe(bytes.length);
  });

  it("hands on a few messages at once", async () => {
    const { stream } = setUp();
    stream.push(Buffer.concat(Array.from({ length: 40 }, () => formatMessage("ab"))));
    stream.push(null);
    const groups = await readAll(stream);
    expect(groups.map((group) => group.length / 7)).toEqual([16, 16, 8]);
  });

  it("counts no piece of a long message in large frames as small", () => {
    const { stream, seen } = setUp();
    for (const piece of splitBy(formatMessage("x".repeat(50_000)), 16_384))
      stream.push(piece);
    expect(seen.small).toBe(0);
  });
});
