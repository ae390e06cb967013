/** Guards against a link whose stream is never opened, or stays open without the state, because that could not be made once. */
import { expect, it } from "vitest";
import {
  collectRejections,
  createSeededRandom,
  createVirtualClock,
  type BoxName,
  type Ms,
} from "@stairgauge/common";
import { makeRunUpdate } from "./makeRunUpdate.js";
import { openPeerLink, type PeerLink } from "./peerLink.js";
import { createPeerService } from "./service.js";

it("a link opens its stream later if the state to be sent first can't be made, and passes the error on", async () => {
  const clock = createVirtualClock();
  const own = "box-1" as BoxName;
  let tries = 0;
  let link: PeerLink | undefined;
  const errors = await collectRejections(async () => {
    link = openPeerLink(
      {
        box: "box-2" as BoxName,
        address: { host: "127.0.0.1", port: 9 },
        capacity: 1,
        dataHall: undefined,
      },
      {
        clock,
        random: createSeededRandom(1),
        service: createPeerService(() => undefined),
        makeWhole: () => {
          tries += 1;
          if (tries <= 2) throw new Error("odd");
          return makeRunUpdate(own, { isWhole: true });
        },
        onNotice: () => undefined,
      },
    );
    for (let i = 0; i < 3; i += 1) {
      await Promise.resolve().then(() => undefined);
      clock.advance(1_000 as Ms);
    }
  });
  link?.close();
  expect(tries).toBe(3);
  expect(errors).toEqual([new Error("odd"), new Error("odd")]);
});
