/** Runs the command line as a process against a stand-in platform and one box. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { buildExampleBundle } from "@stairgauge/standins";
import { createProcessSite, spawnProcess, type ProcessSite } from "@stairgauge/testkit";

const MAIN = fileURLToPath(new URL("../dist/main.js", import.meta.url));

let folder: string;
let site: ProcessSite;

const runMain = async (args: readonly string[]) => {
  const process = spawnProcess([MAIN, ...args]);
  const code = await process.waitForExit();
  return { code, output: process.listLines().join("\n") };
};
const toPath = (name: string) => join(folder, name);
const runJson = async <T>(args: readonly string[]): Promise<T> => {
  const { output } = await runMain([...args, "--json"]);
  return JSON.parse(output) as T;
};

type KeyPair = Readonly<{ publicKey: string; privateKey: string }>;

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), "stairgauge-cli-"));
  const pair = await runJson<KeyPair>(["keys", "create-operator"]);
  writeFileSync(toPath("bob.pem"), pair.privateKey);
  const trusted = [{ operator: "bob", publicKey: pair.publicKey }];
  site = await createProcessSite({ engines: 1, services: 1, boxes: 1, trusted });
  const { address } = site.platform;
  writeFileSync(
    toPath("cli.yaml"),
    JSON.stringify({
      platform: { table: address, objects: address, boxes: address },
      signOff: { approvalsNeeded: 1, trustedOperators: trusted },
      boxes: [site.boxes[0]!.operatorsUrl.replace("http://", ""), "127.0.0.1:1"],
    }),
  );
  const bundle = buildExampleBundle({
    engines: site.engines.map((one) => one.address),
    services: site.services.map((one) => one.address),
  });
  const changed = { ...bundle, objectives: { ...bundle.objectives, stallWeight: 3 } };
  writeFileSync(toPath("bundle.yaml"), JSON.stringify(changed));
  writeFileSync(toPath("broken.yaml"), JSON.stringify({ ...changed, colour: "red" }));
});
afterAll(async () => {
  await site.destroy();
  rmSync(folder, { recursive: true });
});

describe("stairgauge", () => {
  const withSettings = (...args: string[]) => [...args, "--settings", toPath("cli.yaml")];

  it("proposes, approves and rolls out a bundle until it is in force", async () => {
    const { digest } = await runJson<{ digest: string }>(
      withSettings("bundle", "propose", toPath("bundle.yaml"), "--as", "ann"),
    );
    const early = await runMain(
      withSettings("bundle", "roll-out", digest, "--as", "ann"),
    );
    expect(early).toMatchObject({ code: 1 });
    expect(early.output).toContain("0 of 1 needed approvals");
    const approve = [
      "bundle",
      "approve",
      digest,
      "--as",
      "bob",
      "--key",
      toPath("bob.pem"),
    ];
    expect(await runMain(withSettings(...approve))).toMatchObject({ code: 0 });
    const rolled = await runMain(
      withSettings("bundle", "roll-out", digest, "--as", "ann"),
    );
    expect(rolled.output).toContain("rolled out as version 2");
    await site.boxes[0]!.process.waitForLine(/"version":2.*bundle in force/);
    const status = await runMain(withSettings("bundle", "status"));
    expect(status.output).toMatch(/head: version 2/);
    expect(status.output).toMatch(/^2 +1$/m);
    expect(status.output).toMatch(/^no answer +1$/m);
    const history = await runMain(withSettings("bundle", "history"));
    expect(history.output).toMatch(/^2 +[0-9a-f]{64} +ann/m);
    const difference = await runMain(
      withSettings("bundle", "diff", "active", toPath("bundle.yaml")),
    );
    expect(difference.output).toBe("no difference");
    expect((await runMain(withSettings("boxes"))).output).toContain("rennes-a");
  });

  it("validate reports a fault of a bundle, and exits with 2 on invalid input", async () => {
    const broken = await runMain(["bundle", "validate", toPath("broken.yaml")]);
    expect(broken.code).toBe(2);
    expect(broken.output).toContain("colour");
    expect(await runMain(["bundle", "validate", toPath("bundle.yaml")])).toMatchObject({
      code: 0,
    });
    expect(await runMain(["bundle", "validate", "/none"])).toMatchObject({ code: 2 });
    expect(await runMain(["bundle", "nonsense"])).toMatchObject({ code: 2 });
  });

  it("keys create returns a key hash in the format of the bundle", async () => {
    const { keyHash } = await runJson<{ keyHash: string }>(["keys", "create"]);
    expect(keyHash).toMatch(/^sha256:[0-9a-f]{64}$/);
  });

  it("decisions summarizes the decision lines of a box", async () => {
    const lines = [
      { decision: "placed", reason: "least_busy", request: "a", waited: 5 },
      { decision: "placed", reason: "least_busy", request: "b", waited: 7 },
      { decision: "refused", reason: "queue_full", request: "c" },
    ];
    writeFileSync(toPath("log"), lines.map((line) => JSON.stringify(line)).join("\n"));
    const { output } = await runMain(["decisions", toPath("log")]);
    expect(output).toMatch(/^placed +least_busy +2 +2 +7 +7$/m);
    expect(output).toMatch(/^refused +queue_full +1 +1/m);
  });

  describe("with log files of boxes", () => {
    beforeAll(() => {
      const lines = [
        { box: "a", at: 0, time: 500, event: "starting" },
        { box: "a", at: 5, time: 505, request: "r1", route: "draft", event: "placed" },
        {
          box: "a",
          at: 9,
          time: 509,
          request: "r2",
          event: "refused",
          reason: "no_room",
        },
        { box: "a", at: 900, time: 1_400, event: "starting" },
      ].map((line) => JSON.stringify(line));
      writeFileSync(toPath("a.log"), [...lines, '{"box":"a","at":9'].join("\n"));
    });

    it("explain shows the cause of a request, and fails for an id that no line contains", async () => {
      const known = await runMain(["explain", "r1", toPath("a.log")]);
      expect(known).toMatchObject({ code: 0 });
      expect(known.output).toContain("r1 at a: box ended");
      expect(known.output).toContain("warning: 1 lines are cut off or broken");
      const unknown = await runMain(["explain", "r9", toPath("a.log")]);
      expect(unknown).toMatchObject({ code: 1 });
      expect(unknown.output).toContain("No line names r9");
    });

    it("losses counts requests with sent ids and worth of routes, and writes a plot", async () => {
      writeFileSync(toPath("asked"), "r1\nr2\nr3\n");
      const args = ["--asked", toPath("asked"), "--worth", "draft=130"];
      const plot = ["--plot", toPath("losses.svg")];
      const { code, output } = await runMain([
        "losses",
        toPath("a.log"),
        ...args,
        ...plot,
      ]);
      expect(code).toBe(0);
      expect(output).toMatch(/^draft +box ended +1 +100.0 +130/m);
      expect(output).toMatch(/^\(none\) +refused: no_room +1 +50.0 +1 /m);
      expect(output).toMatch(/^\(none\) +never reached +1/m);
      expect(output).toContain("3 requests");
      expect(readFileSync(toPath("losses.svg"), "utf8")).toContain("<svg");
    });

    it.each([
      [["losses", "--worth", "draft=many"], 2, "ROUTE=NUMBER"],
      [["losses", "--asked", "/none"], 2, "cannot be read"],
      [["losses", "--plot", "/none/a.svg"], 2, "cannot be written"],
    ])("%j exits with %i", async (args, code, text) => {
      const ended = await runMain([...args, toPath("a.log")]);
      expect(ended).toMatchObject({ code });
      expect(ended.output).toContain(text);
    });

    it("fails for a file that is not the log of a box, and for a missing file", async () => {
      const foreign = await runMain(["losses", toPath("asked")]);
      expect(foreign).toMatchObject({ code: 1 });
      expect(foreign.output).toContain("3 lines without JSON");
      expect(await runMain(["explain", "r1", "/none"])).toMatchObject({ code: 2 });
    });

    it.each(["explain", "losses"])("%s shows its help and an example", async (name) => {
      const { code, output } = await runMain([name, "--help"]);
      expect(code).toBe(0);
      expect(output).toContain("EXAMPLES");
    });
  });
});
