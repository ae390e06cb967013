/** The callers' interface over real sockets, on a site embedded in the test. */
import { connect } from "node:net";
import OpenAI from "openai";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { GenerationId } from "@stairgauge/common";
import {
  EXAMPLE_ENGINE,
  EXAMPLE_KEY,
  generateToken,
  OTHER_EXAMPLE_KEY,
} from "@stairgauge/standins";
import { createLogger } from "@stairgauge/telemetry";
import { readStream } from "@stairgauge/testkit";
import { createEmbeddedSite, type EmbeddedSite } from "./embeddedSite.js";

const FAST_ENGINE = { ...EXAMPLE_ENGINE, stepBaseMs: 1, stepPerStreamMs: 0.01 };
const ASK = {
  model: "redac-llm",
  messages: [{ role: "user" as const, content: "hi [length=5]" }],
};

type ErrorBody = Readonly<{ error: Readonly<Record<string, unknown>> }>;

let site: EmbeddedSite;
let url: string;

beforeAll(async () => {
  const logger = createLogger({ level: "silent", format: "json", base: {} });
  site = await createEmbeddedSite({
    port: 0,
    logger,
    engines: 2,
    profile: FAST_ENGINE,
    settings: { limits: { bodyBytes: 20_000, bodyIdleMs: 1_500 } },
  });
  url = `http://127.0.0.1:${site.port}`;
});
afterAll(() => site.stop());

const sendPost = async (
  body: string | Buffer,
  options: { readonly path?: string; readonly headers?: Record<string, string> } = {},
) => {
  const response = await request(`${url}${options.path ?? "/v1/chat/completions"}`, {
    method: "POST",
    headers: { authorization: `Bearer ${EXAMPLE_KEY}`, ...options.headers },
    body,
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    body: (await response.body.json()) as ErrorBody,
  };
};

const setFault = (fault: object, engine = 0) =>
  request(`http://${site.engines[engine]!.address}/standin/v1/fault`, {
    method: "PUT",
    body: JSON.stringify(fault),
  });

const setFaultOnAll = (fault: object) =>
  Promise.all(site.engines.map((_, engine) => setFault(fault, engine)));

const readMetric = async (name: string): Promise<number> => {
  const response = await request(`http://127.0.0.1:${site.operatorsPort}/metrics`);
  const lines = (await response.body.text()).split("\n");
  const values = lines
    .filter((line) => line.startsWith(name))
    .map((line) => Number(line.split(" ").pop()));
  return values.reduce((sum, value) => sum + value, 0);
};

/** Sends raw bytes and resolves with all that comes back until the other side closes. */
const sendRaw = (bytes: string) =>
  new Promise<string>((resolve) => {
    const socket = connect(site.port, "127.0.0.1");
    let received = "";
    socket.on("data", (chunk) => (received += chunk.toString()));
    socket.on("close", () => resolve(received));
    socket.on("error", () => resolve(received));
    socket.write(bytes);
  });

const waitUntil = async (holds: () => boolean) => {
  while (!holds()) await new Promise((resolve) => setImmediate(resolve));
};

/** The tokens that the stand-in engines generate for a generation. */
const renderWhole = (generation: string, length: number) =>
  Array.from({ length }, (_, index) => generateToken(generation as GenerationId, index));

describe("the openai client, unchanged", () => {
  const createClient = (apiKey = EXAMPLE_KEY) =>
    new OpenAI({ apiKey, baseURL: `${url}/v1`, maxRetries: 0 });

  it("reads a streamed chat with its usage", async () => {
    const stream = await createClient().chat.completions.create({
      ...ASK,
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = "";
    let usage: OpenAI.CompletionUsage | null | undefined;
    let finish: string | null | undefined;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? "";
      finish = chunk.choices[0]?.finish_reason ?? finish;
      usage = chunk.usage ?? usage;
    }
    expect(text.split(" ")).toHaveLength(5);
    expect(finish).toBe("stop");
    expect(usage).toMatchObject({ completion_tokens: 5 });
  });

  it("reads whole chats and completions, cut at max_tokens", async () => {
    const chat = await createClient().chat.completions.create({ ...ASK, max_tokens: 3 });
    expect(chat.choices[0]).toMatchObject({
      finish_reason: "length",
      message: { role: "assistant" },
    });
    expect(chat.usage?.completion_tokens).toBe(3);
    const completion = await createClient().completions.create({
      model: "redac-llm",
      prompt: "x [length=4]",
    });
    expect(completion.choices[0]?.text.split(" ")).toHaveLength(4);
  });

  it("lists the models and adapters that the workspace was granted", async () => {
    const ids = (await createClient().models.list()).data.map((model) => model.id);
    expect(ids).toEqual(["redac-llm", "annonces"]);
    const others = (await createClient(OTHER_EXAMPLE_KEY).models.list()).data.map(
      (one) => one.id,
    );
    expect(others).toEqual(["redac-llm"]);
  });

  it("meets typed errors", async () => {
    const wrongKey = createClient("wrong").chat.completions.create(ASK);
    await expect(wrongKey).rejects.toMatchObject({
      status: 401,
      code: "invalid_api_key",
    });
    const model = createClient().chat.completions.create({ ...ASK, model: "nobody" });
    await expect(model).rejects.toMatchObject({ status: 404, code: "model_not_found" });
    const ungranted = createClient(OTHER_EXAMPLE_KEY).chat.completions.create({
      ...ASK,
      model: "annonces",
    });
    await expect(ungranted).rejects.toMatchObject({
      status: 404,
      code: "model_not_found",
    });
    const adapter = await createClient().chat.completions.create({
      ...ASK,
      model: "annonces",
    });
    expect(adapter.model).toBe("annonces");
  });
});

describe("bad input", () => {
  it.each([
    ["malformed JSON", "{", 400, "body_not_json"],
    ["bytes that are no text", Buffer.from([0xff, 0xfe, 0x00]), 400, "body_not_json"],
    ["a wrong type", JSON.stringify({ ...ASK, max_tokens: "x" }), 400, "invalid_field"],
    ["an unsupported field", JSON.stringify({ ...ASK, n: 3 }), 400, "unsupported_field"],
    ["an oversized body", "x".repeat(20_001), 413, "body_too_large"],
    [
      "a prompt beyond the context",
      JSON.stringify({
        ...ASK,
        messages: [{ role: "user", content: "x".repeat(1_000) }],
        max_tokens: 1,
      }),
      200,
      undefined,
    ],
  ])("answers %s", async (_name, body, status, code) => {
    const before = await readMetric("stairgauge_refusals_total");
    const answer = await sendPost(body);
    expect(answer.status).toBe(status);
    if (code === undefined) return;
    expect(answer.body.error).toMatchObject({
      code,
      type: "invalid_request_error",
      outcome: "not_run",
    });
    expect(await readMetric("stairgauge_refusals_total")).toBe(before + 1);
  });

  it("answers a missing key, an unknown route and a wrong method", async () => {
    const missing = await request(`${url}/v1/models`);
    expect(missing.statusCode).toBe(401);
    expect((await sendPost("{}", { path: "/v1/nothing" })).body.error["code"]).toBe(
      "unknown_route",
    );
    const wrongMethod = await request(`${url}/v1/chat/completions`);
    expect(wrongMethod.statusCode).toBe(404);
  });

  it("answers an oversized head, bytes that are no HTTP and a body that stops coming", async () => {
    const head = await sendRaw(
      `GET /v1/models HTTP/1.1\r\nhost: x\r\nx: ${"y".repeat(20_000)}\r\n\r\n`,
    );
    expect(head).toContain("HTTP/1.1 431");
    expect(head).toContain('"code":"header_too_large"');
    expect(await sendRaw("\u0000\u0001nonsense\r\n\r\n")).toContain('"code":"malformed"');
    const slow = await sendRaw(
      `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${EXAMPLE_KEY}\r\ncontent-length: 50\r\n\r\n{`,
    );
    expect(slow).toContain("HTTP/1.1 408");
    expect(slow).toContain('"code":"body_too_slow"');
  });

  it("refuses a resume token of another workspace, and one that is none", async () => {
    const view = await readStream({ url, key: EXAMPLE_KEY, prompt: "x [length=3]" });
    const body = JSON.stringify({ ...ASK, stream: true });
    const stolen = await sendPost(body, {
      headers: {
        authorization: `Bearer ${OTHER_EXAMPLE_KEY}`,
        "last-event-id": view.lastId ?? "",
      },
    });
    expect(stolen.body.error).toMatchObject({ code: "invalid_resume_token" });
    const none = await sendPost(body, { headers: { "last-event-id": "x~y" } });
    expect(none.status).toBe(400);
  });
});

describe("an engine that misbehaves", () => {
  const checkWhole = async () => {
    const view = await readStream({ url, key: EXAMPLE_KEY, prompt: "x [length=30]" });
    expect(view.tokens).toHaveLength(30);
    expect(view.isWhole).toBe(true);
    expect(view.tokens).toEqual(renderWhole(view.generation, 30));
  };

  it.each([
    "garbage",
    "half_frame",
    "wrong_generation",
    "repeated_frame",
    "skipped_frame",
    "close_early",
  ])("sends %s mid-stream, and the caller still gets every token once", async (kind) => {
    await setFaultOnAll({ kind, afterTokens: 10 });
    await checkWhole();
    await setFaultOnAll({ kind: "none" });
  });

  it.each(["garbage", "half_frame", "close_early", "refuse"])(
    "sends %s before the first token, and another attempt answers",
    async (kind) => {
      await setFaultOnAll({ kind, afterTokens: 0 });
      await checkWhole();
      await setFaultOnAll({ kind: "none" });
    },
  );

  it("refuses every attempt: a typed, true not_run", async () => {
    await setFaultOnAll({ kind: "refuse", times: 10 });
    const answer = await sendPost(JSON.stringify(ASK));
    await setFaultOnAll({ kind: "none" });
    expect(answer.status).toBe(503);
    expect(answer.body.error).toMatchObject({
      code: "attempts_exhausted",
      outcome: "not_run",
    });
    expect(answer.headers["retry-after"]).toBe("1");
  });

  it("closes every link early before any token: a typed, honest unknown", async () => {
    await setFaultOnAll({ kind: "close_early", times: 10 });
    const answer = await sendPost(JSON.stringify(ASK));
    await setFaultOnAll({ kind: "none" });
    expect(answer.body.error).toMatchObject({
      code: "attempts_exhausted",
      outcome: "unknown",
    });
  });

  it("says nothing at all mid-stream, and the link is opened anew after its silence", async () => {
    await setFaultOnAll({ kind: "silent", afterTokens: 10 });
    await checkWhole();
    await setFaultOnAll({ kind: "none" });
  });

  it("disturbs no other stream", async () => {
    await setFault({ kind: "close_early", afterTokens: 3, times: 3 });
    await Promise.all(Array.from({ length: 20 }, checkWhole));
  });
});

describe("a caller that goes away", () => {
  it("may resume with its last event's id, within the grace, token by token", async () => {
    const first = await readStream({
      url,
      key: EXAMPLE_KEY,
      prompt: "x [length=200]",
      onToken: (count) => (count === 20 ? "leave" : undefined),
    });
    const rest = await readStream({
      url,
      key: EXAMPLE_KEY,
      prompt: "x [length=200]",
      lastEventId: first.lastId,
    });
    expect(rest.isWhole).toBe(true);
    expect([...first.tokens, ...rest.tokens]).toEqual(renderWhole(first.generation, 200));
  });

  it("has its generation cancelled after the grace", async () => {
    const logger = createLogger({ level: "silent", format: "json", base: {} });
    const settings = { resumeGraceMs: 50 };
    const own = await createEmbeddedSite({ port: 0, logger, engines: 1, settings });
    const { host } = own.engines[0]!;
    await readStream({
      url: `http://127.0.0.1:${own.port}`,
      key: EXAMPLE_KEY,
      prompt: "x [length=7000]",
      onToken: (count) => (count === 2 ? "leave" : undefined),
    });
    await waitUntil(() => host.getReport().running === 0);
    expect(host.getCounts().generations).toBe(0);
    await own.stop();
  });
});

describe("plain services", () => {
  const call = (path: string, options: Parameters<typeof request>[1] = {}) =>
    request(`${url}/services${path}`, {
      ...options,
      headers: { authorization: `Bearer ${EXAMPLE_KEY}` },
    });

  it("routes a look-up and passes its query", async () => {
    const response = await call("/annonces-api/search?q=boat");
    expect(await response.body.json()).toMatchObject({ query: "boat", hits: 3 });
  });

  it("streams bodies both ways, larger than any bound of ours", async () => {
    const large = Buffer.alloc(3_000_000, "z");
    const response = await call("/annonces-api/echo", { method: "POST", body: large });
    expect(Buffer.from(await response.body.arrayBuffer()).equals(large)).toBe(true);
  });

  it("refuses services and routes that the bundle does not grant", async () => {
    expect((await call("/nothing/search")).statusCode).toBe(404);
    expect((await call("/annonces-api/secret")).statusCode).toBe(404);
    const other = await request(`${url}/services/annonces-api/search`, {
      headers: { authorization: `Bearer ${OTHER_EXAMPLE_KEY}` },
    });
    expect(other.statusCode).toBe(404);
  });
});

describe("calls that may run once", () => {
  const sendContact = async (key: string | undefined, body = "hello") => {
    const response = await request(`${url}/services/annonces-api/contact`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${EXAMPLE_KEY}`,
        ...(key === undefined ? {} : { "idempotency-key": key }),
      },
      body,
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: JSON.parse(text) as ErrorBody, text };
  };
  const countRuns = async (body: string) => {
    const counts = await Promise.all(
      site.services.map(async (address) => {
        const response = await request(`http://${address}/standin/v1/runs`);
        return (await response.body.json()) as Readonly<Record<string, number>>;
      }),
    );
    return counts.reduce((sum, runs) => sum + (runs[`contact ${body}`] ?? 0), 0);
  };
  const setServiceFault = (kind: string, times = 1) =>
    Promise.all(
      site.services.map((address) =>
        request(`http://${address}/standin/v1/fault`, {
          method: "PUT",
          body: JSON.stringify({ kind, times }),
        }),
      ),
    );

  it("need a key", async () => {
    expect(await sendContact(undefined)).toMatchObject({
      status: 400,
      body: { error: { code: "idempotency_key_needed", outcome: "not_run" } },
    });
  });

  it("run once for one key, however often and however crossed they are asked", async () => {
    const many = await Promise.all(
      Array.from({ length: 10 }, () => sendContact("k1", "once")),
    );
    const later = await sendContact("k1", "once");
    expect(later.status).toBe(200);
    for (const answer of many.filter(({ status }) => status === 200)) {
      expect(answer.text).toBe(later.text);
    }
    expect(await countRuns("once")).toBe(1);
    expect(await sendContact("k1", "another")).toMatchObject({
      status: 422,
      body: { error: { code: "key_reused" } },
    });
  });

  it("are never run again once their answer was lost", async () => {
    await setServiceFault("lose_answer");
    expect(await sendContact("k2", "lost")).toMatchObject({
      body: { error: { code: "service_failed", outcome: "unknown" } },
    });
    await setServiceFault("none");
    expect(await sendContact("k2", "lost")).toMatchObject({
      status: 409,
      body: { error: { outcome: "unknown" } },
    });
    expect(await countRuns("lost")).toBe(1);
  });

  it("go to another server when one that leaves refuses, and may be asked again when all do", async () => {
    await setServiceFault("refuse");
    expect(await sendContact("k3", "refused")).toMatchObject({
      body: { error: { outcome: "not_run" } },
    });
    await setServiceFault("none");
    expect((await sendContact("k3", "refused")).status).toBe(200);
    expect(await countRuns("refused")).toBe(1);
  });

  it("are refused, truly not run, while the store is down", async () => {
    site.platform.setMode({ isDown: true });
    expect(await sendContact("k4", "down")).toMatchObject({
      status: 503,
      body: { error: { code: "store_unavailable", outcome: "not_run" } },
    });
    site.platform.setMode({ isDown: false });
    expect(await countRuns("down")).toBe(0);
    expect((await sendContact("k4", "down")).status).toBe(200);
  });

  it("settle the lost answer of their claim's write, and run once", async () => {
    site.platform.setMode({ answersToLose: 1 });
    expect((await sendContact("k5", "settled")).status).toBe(200);
    expect(await countRuns("settled")).toBe(1);
  });

  it("can be generations: the repeat gets the same whole answer", async () => {
    const headers = { "idempotency-key": "g1" };
    const first = await sendPost(JSON.stringify(ASK), { headers });
    const again = await sendPost(JSON.stringify(ASK), { headers });
    expect(first.status).toBe(200);
    expect(again.body).toEqual(first.body);
    const other = await sendPost(JSON.stringify({ ...ASK, max_tokens: 2 }), { headers });
    expect(other.body.error).toMatchObject({ code: "key_reused" });
  });

  it("can be streamed generations: the repeat is told that it ran", async () => {
    const headers = { "idempotency-key": "g2" };
    const body = JSON.stringify({ ...ASK, stream: true });
    const first = await request(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { ...headers, authorization: `Bearer ${EXAMPLE_KEY}` },
      body,
    });
    expect(await first.body.text()).toContain("[DONE]");
    await waitUntil(() => site.platform.getCounts().rows > 0);
    const again = await sendPost(body, { headers });
    expect(again.status).toBe(409);
  });
});

describe("a backend server that leaves", () => {
  const countStarted = (engine: number) => site.engines[engine]!.host.getCounts().started;
  const listLeaving = (names: readonly string[]) =>
    site.platform.setServers(
      names.map((name) => ({
        name,
        kind: "backend_server",
        address: "",
        dataHall: "rennes-a",
        state: "leaving",
      })),
    );
  const checkNoNewWork = async (engine: number) => {
    const before = countStarted(engine);
    await Promise.all(
      Array.from({ length: 12 }, () =>
        readStream({ url, key: EXAMPLE_KEY, prompt: "x [length=3]" }),
      ),
    );
    expect(countStarted(engine)).toBe(before);
  };

  it("gets no new work once the platform's list marks it, and some again afterwards", async () => {
    listLeaving(["engine-1"]);
    const metric = "stairgauge_leaving_servers";
    while ((await readMetric(metric)) !== 1);
    await checkNoNewWork(0);
    listLeaving([]);
    while ((await readMetric(metric)) !== 0);
  });

  it("gets no new work from its own refusal on, and cuts no stream that runs there", async () => {
    site.engines[1]!.host.setLeaving(true);
    const views = await Promise.all(
      Array.from({ length: 6 }, () =>
        readStream({ url, key: EXAMPLE_KEY, prompt: "x [length=20]" }),
      ),
    );
    for (const view of views) expect(view.isWhole).toBe(true);
    await checkNoNewWork(1);
    site.engines[1]!.host.setLeaving(false);
  });
});
