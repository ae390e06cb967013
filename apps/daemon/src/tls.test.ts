/** Callers over HTTPS. */
import { generate } from "selfsigned";
import { Agent, request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { EXAMPLE_KEY } from "@stairgauge/standins";
import { createLogger } from "@stairgauge/telemetry";
import { createEmbeddedSite, type EmbeddedSite } from "./embeddedSite.js";

let site: EmbeddedSite;
let certificate: string;

beforeAll(async () => {
  const pems = await generate([{ name: "commonName", value: "127.0.0.1" }], {
    extensions: [{ name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] }],
  });
  certificate = pems.cert;
  const logger = createLogger({ level: "silent", format: "json", base: {} });
  site = await createEmbeddedSite({
    port: 0,
    logger,
    tls: { cert: pems.cert, key: pems.private },
  });
});
afterAll(() => site.stop());

describe("a box with TLS files", () => {
  const listModels = (protocol: string, dispatcher: Agent) =>
    request(`${protocol}://127.0.0.1:${site.port}/v1/models`, {
      headers: { authorization: `Bearer ${EXAMPLE_KEY}` },
      dispatcher,
    });

  it("serves callers that trust its certificate", async () => {
    const dispatcher = new Agent({ connect: { ca: certificate } });
    const response = await listModels("https", dispatcher);
    expect(response.statusCode).toBe(200);
    await response.body.dump();
    await dispatcher.destroy();
  });

  it("serves nobody else", async () => {
    const dispatcher = new Agent();
    await expect(listModels("https", dispatcher)).rejects.toThrow();
    await expect(listModels("http", dispatcher)).rejects.toThrow();
    await dispatcher.destroy();
  });
});
