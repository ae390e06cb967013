/** The whole path over separate processes and real sockets, while processes stop, die and freeze. */
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { GenerationId } from "@stairgauge/common";
import { EXAMPLE_KEY, generateToken } from "@stairgauge/standins";
import {
  createProcessSite,
  readStream,
  type StreamRequest,
  type ProcessSite,
  type ProcessSiteOptions,
} from "@stairgauge/testkit";

let site: ProcessSite;
afterEach(() => site.destroy());

const startSite = async (options: Partial<ProcessSiteOptions> = {}) => {
  site = await createProcessSite({ engines: 1, services: 1, boxes: 1, ...options });
  return site;
};

const readAnswer = (
  length: number,
  options: Partial<StreamRequest> = {},
): Promise<Awaited<ReturnType<typeof readStream>>> =>
  readStream({
    url: site.boxes[0]!.url,
    key: EXAMPLE_KEY,
    prompt: `an ad [length=${length}]`,
    ...options,
  });

const renderWhole = (generation: string, length: number) =>
  Array.from({ length }, (_, index) => generateToken(generation as GenerationId, index));

/** Runs `act` once, after the given count of tokens. */
const runAfter =
  (tokens: number, act: () => void | Promise<void>) => async (count: number) => {
    if (count === tokens) await act();
    return undefined;
  };

const readStatus = async (box: number) => {
  const response = await request(`${site.boxes[box]!.operatorsUrl}/status`);
  return (await response.body.json()) as { openAnswers: number; isStopping: boolean };
};

describe("a site of separate processes", () => {
  it("streams an answer from caller to engine and back, and logs the placement", async () => {
    await startSite();
    const view = await readAnswer(40);
    expect(view).toMatchObject({ status: 200, isWhole: true });
    expect(view.tokens).toEqual(renderWhole(view.generation, 40));
    const lines = site.boxes[0]!.process.listLines();
    const placements = lines.filter((line) => line.includes('"decision":"placed"'));
    expect(placements).toHaveLength(1);
    expect(JSON.parse(placements[0]!)).toMatchObject({
      server: "engine-1",
      reason: "only_one",
    });
    expect(lines.join("\n")).not.toContain("an ad");
    expect(lines.join("\n")).not.toContain(EXAMPLE_KEY);
  });

  it("cuts no stream in a planned stop, takes no new work, and exits with 0", async () => {
    await startSite();
    const box = site.boxes[0]!;
    const view = await readAnswer(150, {
      onToken: runAfter(5, async () => {
        box.process.kill("SIGTERM");
        await box.process.waitForLine(/stopping: no new work/);
        const ready = await request(`${box.operatorsUrl}/readyz`);
        expect(ready.statusCode).toBe(503);
        await expect(request(`${box.url}/v1/models`)).rejects.toMatchObject({
          code: "ECONNREFUSED",
        });
      }),
    });
    expect(view.isWhole).toBe(true);
    expect(view.tokens).toEqual(renderWhole(view.generation, 150));
    expect(await box.process.waitForExit()).toBe(0);
  });

  it("sends streams elsewhere when a stop is hastened, and another box goes on", async () => {
    await startSite({ boxes: 2 });
    const box = site.boxes[0]!;
    const first = await readAnswer(400, {
      onToken: runAfter(5, async () => {
        box.process.kill("SIGTERM");
        await box.process.waitForLine(/stopping: no new work/);
        box.process.kill("SIGTERM");
      }),
    });
    expect(first.events.at(-1)?.data).toContain('"code":"resume_elsewhere"');
    const rest = await readAnswer(400, {
      url: site.boxes[1]!.url,
      lastEventId: first.lastId,
    });
    expect([...first.tokens, ...rest.tokens]).toEqual(renderWhole(first.generation, 400));
    expect(rest.isWhole).toBe(true);
    expect(await box.process.waitForExit()).toBe(0);
  });

  it("loses nothing when a box is killed: another goes on from the last event's id", async () => {
    await startSite({ boxes: 2 });
    const box = site.boxes[0]!;
    const first = await readAnswer(400, {
      onToken: runAfter(20, () => box.process.kill("SIGKILL")),
    });
    expect(first.isWhole).toBe(false);
    const rest = await readAnswer(400, {
      url: site.boxes[1]!.url,
      lastEventId: first.lastId,
    });
    expect([...first.tokens, ...rest.tokens]).toEqual(renderWhole(first.generation, 400));
    expect(rest.isWhole).toBe(true);
  });

  it("ends a stream with a typed error when its engine is killed", async () => {
    await startSite({ engines: 2 });
    const view = await readAnswer(2_000, {
      onToken: runAfter(20, () =>
        site.engines.forEach(({ process }) => process.kill("SIGKILL")),
      ),
    });
    expect(view.isWhole).toBe(false);
    expect(view.events.at(-1)?.data).toContain('"code":"generation_lost"');
    expect(view.tokens).toEqual(renderWhole(view.generation, view.tokens.length));
  });

  it("starts anew on another engine when the first is dead before the first token", async () => {
    await startSite({ engines: 2 });
    site.engines[0]!.process.kill("SIGKILL");
    await site.engines[0]!.process.waitForExit();
    const views = await Promise.all(Array.from({ length: 8 }, () => readAnswer(20)));
    for (const view of views)
      expect(view.tokens).toEqual(renderWhole(view.generation, 20));
  });

  it("goes on with the same generation after its engine was frozen and let go", async () => {
    await startSite();
    const [engine] = site.engines;
    const view = await readAnswer(300, {
      onToken: runAfter(20, () => {
        engine!.process.kill("SIGSTOP");
        void site.boxes[0]!.process.waitForLine(/decision: resumed/).then(() =>
          engine!.process.kill("SIGCONT"),
        );
      }),
    });
    expect(view.isWhole).toBe(true);
    expect(view.tokens).toEqual(renderWhole(view.generation, 300));
  });

  it("serves on with the platform's stores dead", async () => {
    await startSite();
    site.platform.process.kill("SIGKILL");
    await site.platform.process.waitForExit();
    await site.boxes[0]!.process.waitForLine(/no newer bundle could be taken/);
    expect((await readAnswer(20)).isWhole).toBe(true);
    expect(await readStatus(0)).toMatchObject({ isStopping: false });
  });

  const sendContact = async (box: number, body: string) => {
    const response = await request(
      `${site.boxes[box]!.url}/services/annonces-api/contact`,
      {
        method: "POST",
        headers: {
          authorization: `Bearer ${EXAMPLE_KEY}`,
          "idempotency-key": `key-${body}`,
        },
        body,
      },
    );
    return { status: response.statusCode, text: await response.body.text() };
  };
  const readRuns = async (body: string) => {
    const response = await request(`http://${site.services[0]!.address}/standin/v1/runs`);
    const runs = (await response.body.json()) as Readonly<Record<string, number>>;
    return runs[`contact ${body}`] ?? 0;
  };
  const setMode = (address: string, path: string, mode: object) =>
    request(`http://${address}/standin/v1/${path}`, {
      method: "PUT",
      body: JSON.stringify(mode),
    });

  it("never runs again what a killed box had claimed and sent", async () => {
    await startSite({ boxes: 2 });
    await setMode(site.services[0]!.address, "fault", { kind: "hang" });
    const cut = sendContact(0, "hello").catch(() => "cut" as const);
    while ((await readRuns("hello")) === 0);
    site.boxes[0]!.process.kill("SIGKILL");
    expect(await cut).toBe("cut");
    const again = await sendContact(1, "hello");
    expect(again.status).toBe(409);
    expect(again.text).toContain('"outcome":"unknown"');
    expect(await readRuns("hello")).toBe(1);
  });

  it("refuses once-calls while the store is down, cuts no stream, and runs them when it is back", async () => {
    await startSite();
    const { address } = site.platform;
    const view = await readAnswer(150, {
      onToken: runAfter(5, async () => {
        await setMode(address, "mode", { isDown: true });
        const refused = await sendContact(0, "later");
        expect(refused.status).toBe(503);
        expect(refused.text).toContain('"outcome":"not_run"');
        await setMode(address, "mode", { isDown: false });
        expect(await readRuns("later")).toBe(0);
        expect((await sendContact(0, "later")).status).toBe(200);
      }),
    });
    expect(view.tokens).toEqual(renderWhole(view.generation, 150));
    expect(view.isWhole).toBe(true);
    expect(await readRuns("later")).toBe(1);
  });

  it("answers the first call the same when its claim's answer was lost", async () => {
    await startSite();
    await setMode(site.platform.address, "mode", { answersToLose: 1 });
    const first = await sendContact(0, "settled");
    expect(first.status).toBe(200);
    expect(await readRuns("settled")).toBe(1);
  });

  it("moves no new work to an engine that stops as planned, and lets its streams end", async () => {
    await startSite({ engines: 2 });
    const stopped = site.engines[0]!;
    const views = await Promise.all(
      Array.from({ length: 6 }, (_, i) =>
        readAnswer(120, {
          onToken: runAfter(5, async () => {
            if (i === 0) await setMode(stopped.address, "leaving", {});
          }),
        }),
      ),
    );
    for (const view of views)
      expect(view.tokens).toEqual(renderWhole(view.generation, 120));
    for (let i = 0; i < 6; i += 1) expect((await readAnswer(5)).isWhole).toBe(true);
  });
});
