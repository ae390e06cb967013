/**
 * Guards against streams that end as complete although the box had their run stopped, and whole ones that are broken off
 * since their server leaves, where nothing but the end of the connection marks their end.
 */
import { describe, expect, it } from "vitest";
import { waitFor, waitMs } from "./box.testkit.js";
import { beginUnframed, WHOLE, type CopyCall } from "./unframedStreams.testkit.js";

describe("a stream that ends with its connection", () => {
  it("goes on elsewhere if its run was stopped, also if the entry of its server is back by then", async () => {
    let putBack: () => Promise<void> = () => Promise.resolve();
    const stream = await beginUnframed({
      copyMs: 50,
      onCopy: ({ isLast }) => (isLast ? putBack() : undefined),
    });
    const { site, engine, address, lines, calls, answered } = stream;
    const isBack = () =>
      lines.filter(({ event, server }) => event === "server_joined" && server === engine)
        .length === 2;
    putBack = async () => {
      site.putEngine(engine, address);
      await waitFor(isBack);
    };
    site.dropEntry(engine);
    expect(await answered).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(calls).toContainEqual({ engine, isLast: true } satisfies CopyCall);
  });

  it("ends as complete if a server that leaves has sent it whole before its run was stopped", async () => {
    const stream = await beginUnframed({ copyMs: 2_000 });
    const { site, engine, address, calls, answered } = stream;
    site.putEngine(engine, address, "leaving");
    expect(await answered).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(calls).toEqual([{ engine, isLast: false }]);
  });

  it("does not end as complete if its server, which leaves, ends its streams while it stops its process", async () => {
    const stream = await beginUnframed({ copyMs: 2_000 });
    const { site, engine, address, calls, answered } = stream;
    site.putEngine(engine, address, "leaving");
    await waitFor(() => calls.length === 1);
    stream.endStreams();
    await waitMs(50);
    stream.stopListening();
    expect(await answered).toMatchObject({ status: 200, isWhole: false });
  });

  it("goes on if its box is told to stop while it is between two servers", async () => {
    let stopBox: () => unknown = () => undefined;
    const stream = await beginUnframed({ copyMs: 50, onCopy: () => void stopBox() });
    stopBox = stream.box.stop;
    stream.breakOff();
    const answer = await stream.answered;
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });
});
