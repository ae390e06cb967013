/** Guards against a daemon that ends because of what its start meets for a moment: a port in use, late settings, a signal. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text as readText } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { generate } from "selfsigned";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { spawnProcess, takePort, type SpawnedProcess } from "@stairgauge/testkit";

const MAIN = fileURLToPath(new URL("../dist/main.js", import.meta.url));
const EXAMPLE = fileURLToPath(new URL("../../../examples/box-1.yaml", import.meta.url));

const PORTS = { callers: 18_790, operators: 18_791 } as const;
const LISTENERS = ["callers", "operators"] as const;

const SETTINGS = readFileSync(EXAMPLE, "utf8")
  .replace("127.0.0.1:8080", `127.0.0.1:${PORTS.callers}`)
  .replace("127.0.0.1:8081", `127.0.0.1:${PORTS.operators}`)
  // No platform; a daemon starts without one, and is not ready.
  .replaceAll("127.0.0.1:9000", "127.0.0.1:1");

let folder: string;
let settings: string;
const closers: (() => unknown)[] = [];

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "stairgauge-"));
  closers.push(() => rmSync(folder, { recursive: true }));
  settings = join(folder, "box.yaml");
  writeFileSync(settings, SETTINGS);
});
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

const startDaemon = (args: readonly string[] = []): SpawnedProcess => {
  const daemon = spawnProcess([...args, MAIN, "--settings", settings]);
  closers.push(() => {
    daemon.kill("SIGKILL");
    return daemon.waitForExit();
  });
  return daemon;
};

/** Takes one of the daemon's ports until it is released or the test ends. */
const takePortFor = async (listener: keyof typeof PORTS) => {
  const releasePort = await takePort(PORTS[listener]);
  closers.push(releasePort);
  return releasePort;
};

/** Starts a daemon for which a minute takes a second. */
const startFastDaemon = () => {
  const hook = join(folder, "hook.cjs");
  writeFileSync(
    hook,
    "const now = performance.now.bind(performance); performance.now = () => now() * 60;",
  );
  return startDaemon(["--require", hook]);
};

describe("a port in use", () => {
  it.each(LISTENERS)("is awaited by the listener for %s", async (listener) => {
    const releasePort = await takePortFor(listener);
    const daemon = startDaemon();
    await daemon.waitForLine(new RegExp(`"listener":"${listener}".*"address_in_use"`));
    releasePort();
    await daemon.waitForLine(/"listening"/);
  });

  // Guards against callers who are sent to the process that holds the port, as this one is said to be ready.
  it("of callers lets operators see that the daemon is not ready", async () => {
    await takePortFor("callers");
    await startDaemon().waitForLine(/"address_in_use"/);
    const answer = await fetch(`http://127.0.0.1:${PORTS.operators}/readyz`);
    expect(answer.status).toBe(503);
    expect(await answer.json()).toMatchObject({ reason: "not_listening" });
  });

  // Guards against a daemon that serves callers while it waits for its other port, and then ends with their requests.
  it("of operators that is never free does not cut the request of a caller", async () => {
    await takePortFor("operators");
    const daemon = startFastDaemon();
    await daemon.waitForLine(/"address_in_use"/);
    const caller = connect(PORTS.callers, "127.0.0.1");
    caller.write("GET /v1/models HTTP/1.1\r\nHost: a\r\n");
    await daemon.waitForLine(/cannot listen/);
    caller.write("Connection: close\r\n\r\n");
    expect(await readText(caller)).toMatch(/^HTTP\/1.1 /);
    expect(await daemon.waitForExit()).toBe(1);
  });

  it.each(LISTENERS)("for %s does not make a stop a failure", async (listener) => {
    await takePortFor(listener);
    const daemon = startDaemon();
    await daemon.waitForLine(/"address_in_use"/);
    daemon.kill("SIGTERM");
    expect(await daemon.waitForExit()).toBe(0);
  });
});

describe("settings that are being written", () => {
  it.each([
    ["there", undefined],
    ["whole", SETTINGS.slice(0, 200)],
    ["whole, though they are sound", SETTINGS.trimEnd().slice(0, -1)],
  ])("are awaited until they are %s", async (_what, text) => {
    if (text === undefined) rmSync(settings);
    else writeFileSync(settings, text);
    const daemon = startDaemon();
    await daemon.waitForLine(/waiting for the settings/);
    writeFileSync(settings, SETTINGS);
    await daemon.waitForLine(/"listening"/);
  });

  it("are awaited until their certificate is whole and fits its key", async () => {
    const { cert, private: key } = await generate([
      { name: "commonName", value: "127.0.0.1" },
    ]);
    const certFile = join(folder, "cert.pem");
    const keyFile = join(folder, "key.pem");
    writeFileSync(settings, `${SETTINGS}tls: ${JSON.stringify({ certFile, keyFile })}\n`);
    writeFileSync(certFile, cert);
    const daemon = startDaemon();
    await daemon.waitForLine(/tls.keyFile: /);
    writeFileSync(keyFile, key.slice(0, 200));
    await daemon.waitForLine(/tls: /);
    writeFileSync(keyFile, key);
    await daemon.waitForLine(/"listening"/);
  });

  it("do not make a stop a failure", async () => {
    rmSync(settings);
    const daemon = startDaemon();
    await daemon.waitForLine(/waiting for the settings/);
    daemon.kill("SIGTERM");
    expect(await daemon.waitForExit()).toBe(0);
  });

  it.each([
    ["not there", undefined, "settings", "ENOENT"],
    ["not valid", `${SETTINGS}colour: red\n`, "settings", "colour: no such setting"],
  ])(
    "end the daemon with status 2 after a minute in which they are %s",
    async (_what, text, ...said) => {
      if (text === undefined) rmSync(settings);
      else writeFileSync(settings, text);
      const daemon = startFastDaemon();
      expect(await daemon.waitForExit()).toBe(2);
      const lines = daemon.listLines().join("\n");
      for (const part of said) expect(lines).toContain(part);
    },
  );
});

describe("a signal that asks for nothing that a daemon does", () => {
  it.each([
    "SIGHUP",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGIO",
    "SIGPROF",
    "SIGPWR",
    "SIGXCPU",
  ] as const)("is logged and ignored: %s", async (signal) => {
    const daemon = startDaemon();
    await daemon.waitForLine(/"listening"/);
    daemon.kill(signal);
    await daemon.waitForLine(/signal ignored/);
    expect(daemon.listLines().join("\n")).not.toContain("Debugger");
  });

  /** Has the daemon get a signal while it reads its program. */
  const startWithSignal = (signal: NodeJS.Signals) => {
    const hook = join(folder, "hook.mjs");
    writeFileSync(
      hook,
      `import { register } from "node:module";
register("data:text/javascript," + encodeURIComponent(\`
let isSent = false;
export const load = (url, context, next) => {
  if (!isSent && url.endsWith("/createDaemon.js")) {
    isSent = true;
    process.kill(process.pid, "${signal}");
  }
  return next(url, context);
};\`));
`,
    );
    return startDaemon(["--import", hook]);
  };

  it("does not end a daemon that reads its program: SIGHUP", async () => {
    await startWithSignal("SIGHUP").waitForLine(/"listening"/);
  });

  it("does not make a stop a failure while the daemon reads its program", async () => {
    expect(await startWithSignal("SIGTERM").waitForExit()).toBe(0);
  });
});

describe("output that nobody reads", () => {
  const startUnread = () => {
    const daemon = spawn(process.execPath, [MAIN, "--settings", settings]);
    closers.push(() => daemon.kill("SIGKILL"));
    daemon.stdout.destroy();
    daemon.stderr.destroy();
    return new Promise((resolve) => daemon.once("exit", () => resolve("ended")));
  };
  const waitMs = (duration: number) =>
    new Promise<void>((resolve) => setTimeout(resolve, duration));
  const waitUntilLive = async () => {
    const url = `http://127.0.0.1:${PORTS.operators}/livez`;
    while (!(await fetch(url).catch(() => undefined))) await waitMs(50);
    return "live";
  };

  it("does not end a daemon that starts", async () => {
    const ended = startUnread();
    expect(await Promise.race([ended, waitUntilLive()])).toBe("live");
    expect(await Promise.race([ended, waitMs(500)])).toBeUndefined();
  });

  it("does not end a daemon that waits for its settings", async () => {
    rmSync(settings);
    const ended = startUnread();
    expect(await Promise.race([ended, waitMs(1_500)])).toBeUndefined();
    writeFileSync(settings, SETTINGS);
    expect(await Promise.race([ended, waitUntilLive()])).toBe("live");
  });
});
