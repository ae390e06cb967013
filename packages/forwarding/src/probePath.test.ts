/** Guards against a probe that could not be sent and counts as a path that is still lost. */
import { Socket } from "node:net";
import { expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { openExchange } from "./openExchange.js";
import { probePath } from "./probePath.js";
import { makeServer } from "./server.testkit.js";

it("a probe that cannot be sent says nothing about the path", async () => {
  const clock = createVirtualClock();
  const probed = probePath({
    clock,
    codec: { encodeHealthCall: () => ["Expect-Instance", "a\r\nb"] },
    entry: makeServer("a").entry,
    healthPath: "/healthz",
    connectLimit: 100 as Ms,
    openOwn: (request, sink) =>
      openExchange(clock, { ...request, dial: () => new Socket() }, sink),
  });
  clock.advance(10_000 as Ms);
  expect(await probed).toBeUndefined();
});
