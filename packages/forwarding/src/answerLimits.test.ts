import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createHeldBody, createOverheadMeter } from "./answerLimits.js";

const KB = 1024;

describe("createOverheadMeter", () => {
  it("lets through a body in chunks of any size (property)", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 20_000 }), { maxLength: 3_000 }),
        (chunks) => {
          const meter = createOverheadMeter();
          for (const bytes of chunks) {
            meter.addBody(bytes);
            const framing = bytes.toString(16).length + 4;
            expect(meter.addReceived(bytes + framing)).toBeUndefined();
          }
        },
      ),
    );
  });

  it("ends bytes beside the body, also between bytes of a body", () => {
    const meter = createOverheadMeter();
    let read = 0;
    let excess;
    while (!excess && read < 10_000 * KB) {
      meter.addBody(1);
      excess = meter.addReceived(4 * KB);
      read += 4 * KB;
    }
    expect(excess).toMatchObject({ limit: "overhead" });
    expect(read).toBeLessThan(160 * KB);
  });
});

describe("createHeldBody", () => {
  it("holds a body up to its limit, and tells by how many bytes it is exceeded", () => {
    const body = createHeldBody({ maxBytes: 10 });
    expect(body.add(Buffer.from("0123456789"))).toBeUndefined();
    expect(body.add(Buffer.from("ab"))).toEqual({ limit: "held_body", bytes: 12 });
    expect(body.getBytes().toString()).toBe("0123456789");
  });
});
