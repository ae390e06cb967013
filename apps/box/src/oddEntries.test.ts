/**
 * Another writer may put anything where a server's entry stands. Until now a state that nobody names counted as ready, an
 * entry that had turned unreadable left the one before in use, and a port beyond all ports ended the process. Such an entry names
 * no server to use: what it hides gets no new work, what runs there runs on, and all others hold.
 */
import { describe, expect, it } from "vitest";
import { ask, beginDraft, startSite, waitFor, type Line } from "./box.testkit.js";

const SOUND = {
  service: "pages",
  address: "127.0.0.1:9",
  zone: "hall-a",
  version: "v1",
  slots: 6,
  state: "ready",
  warmupLeftMs: 0,
  sequence: 1,
};

const ODD_ENTRIES: readonly Readonly<[string, unknown]>[] = [
  ["an unknown state", { ...SOUND, state: "sleeping" }],
  ["a port beyond all ports", { ...SOUND, address: "127.0.0.1:99999" }],
  ["a field of another type", { ...SOUND, slots: "six" }],
  ["a field missing", { ...SOUND, zone: undefined }],
  ["a list", [1, 2]],
  ["a text", "draining"],
];

const isUnusable = ({ event }: Line) => event === "server_unusable";

describe("an entry that names no server to use", () => {
  it.each(ODD_ENTRIES)(
    "is that with %s: nothing new goes there",
    async (_what, entry) => {
      const { site, ports, lines, start } = await startSite(0, 2);
      await start();
      const [odd, sound] = site.services;
      site.putOddEntry(odd!.id, entry);
      await waitFor(() => lines.some(isUnusable));
      const before = odd!.listReceived().length;
      for (let i = 0; i < 10; i += 1)
        expect((await ask(ports, { path: "/once/" })).status).toBe(200);
      expect(odd!.listReceived()).toHaveLength(before);
      expect(sound!.listReceived()).toHaveLength(10);
      expect(lines.filter(isUnusable)).toHaveLength(1);
    },
  );

  it("may be new: nothing is sent there, and the box serves on", async () => {
    const { site, ports, lines, start } = await startSite(0, 1);
    await start();
    site.putOddEntry("new", { ...SOUND, address: "1.2.3.4:70000" });
    await waitFor(() => lines.some(({ event }) => event === "server_list"));
    for (let i = 0; i < 5; i += 1)
      expect((await ask(ports, { path: "/again/" })).status).toBe(200);
  });

  it("leaves a stream be that runs at its server", async () => {
    const { site, ports, lines, start } = await startSite(1, 0);
    await start();
    const { answered } = await beginDraft(ports);
    site.putOddEntry(site.engines[0]!.id, { ...SOUND, state: 7 });
    await waitFor(() => lines.some(isUnusable));
    expect(await answered).toMatchObject({ status: 200, isWhole: true });
  });
});
