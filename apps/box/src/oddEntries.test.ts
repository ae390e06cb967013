/**
 * Guards against invalid entries in the list of servers, which other writers may put there: an
 * unknown state that counts as ready, an unreadable entry that leaves the previous one in use,
 * an invalid port that ends the process. The server of such an entry gets no new requests, what
 * runs there runs on, and other entries are unaffected.
 */
import { describe, expect, it } from "vitest";
import {
  ask,
  beginDraft,
  makeDeadEntry,
  startSite,
  waitFor,
  type Line,
} from "./box.testkit.js";

const VALID = makeDeadEntry("pages");

const ODD_ENTRIES: readonly Readonly<[string, unknown]>[] = [
  ["an unknown state", { ...VALID, state: "sleeping" }],
  ["a port number out of range", { ...VALID, address: "127.0.0.1:99999" }],
  ["a field of another type", { ...VALID, slots: "six" }],
  ["a missing field", { ...VALID, zone: undefined }],
  ["a list", [1, 2]],
  ["a text", "draining"],
];

const isUnusable = ({ event }: Line) => event === "server_unusable";

describe("an invalid entry in the list of servers", () => {
  it.each(ODD_ENTRIES)(
    "with %s gets no new requests for its server",
    async (_what, entry) => {
      const { site, ports, lines, start } = await startSite(0, 2);
      await start();
      const [odd, intact] = site.services;
      site.putRawEntry(odd!.id, entry);
      await waitFor(() => lines.some(isUnusable));
      const before = odd!.listReceived().length;
      for (let i = 0; i < 10; i += 1)
        expect((await ask(ports, { path: "/once/" })).status).toBe(200);
      expect(odd!.listReceived()).toHaveLength(before);
      expect(intact!.listReceived()).toHaveLength(10);
      expect(lines.filter(isUnusable)).toHaveLength(1);
    },
  );

  it("that is new adds no server, and the box keeps serving", async () => {
    const { site, ports, lines, start } = await startSite(0, 1);
    await start();
    site.putRawEntry("new", { ...VALID, address: "1.2.3.4:70000" });
    await waitFor(() => lines.some(({ event }) => event === "server_list"));
    for (let i = 0; i < 5; i += 1)
      expect((await ask(ports, { path: "/again/" })).status).toBe(200);
  });

  it("doesn't interrupt a stream that runs at its server", async () => {
    const { site, ports, lines, start } = await startSite(1, 0);
    await start();
    const { answered } = await beginDraft(ports);
    site.putRawEntry(site.engines[0]!.id, { ...VALID, state: 7 });
    await waitFor(() => lines.some(isUnusable));
    expect(await answered).toMatchObject({ status: 200, isWhole: true });
  });
});
