// Runs the bundle before stand-ins and keeps the machine code of the functions that it has compiled by then.
//
// Code that is kept right after the modules have run holds none of the functions that first run at the start, with the
// first requests or with the first link. A box serves a few hundred requests in its life, so compiling those functions is
// a large part of its CPU time.
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";
import { reservePort, sendRequests, startUsersSite } from "@stairgauge/standins";

const [, , bundle, code] = process.argv;
const LINK_MS = 1_500;
const RESET_MS = 600;
const AFTER_RESET_MS = 1_200;
const BOXES = 2;

const formatSettings = (name, store, port) => `
box: ${name}
dataHall: hall-a
listen: { clients: "127.0.0.1:${port}", ready: "127.0.0.1:0", metrics: "127.0.0.1:0", peers: "127.0.0.1:0" }
store: { address: "${store}" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, leavingMs: 2000, stopSeconds: 8 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;

const path = resolve(bundle);
const source = readFileSync(path, "utf8");
const script = new Script(`(function(require,module,exports){${source}\n})`, {
  filename: path,
});

const runBox = (settings) => {
  const box = { exports: {} };
  script.runInThisContext()(createRequire(path), box, box.exports);
  process.argv = [process.argv[0], path, "--settings", settings];
  return box.exports.runBox({ keptCode: "absent" });
};

const keepUsedCode = async () => {
  // V8 discards the code of functions that have not run for some time.
  setFlagsFromString("--no-flush-bytecode");
  const site = await startUsersSite({ engines: 2, services: 2 });
  site.putConfiguration();
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-build-"));
  const ports = [];
  for (let i = 0; i < BOXES; i += 1) {
    const { port } = await reservePort();
    const settings = join(folder, `box-${i}.yaml`);
    writeFileSync(settings, formatSettings(`box-${i}`, site.store.address, port));
    await runBox(settings);
    ports.push(port);
  }
  await wait(LINK_MS);
  for (const port of ports) {
    await sendRequests(port, { kind: "plain", count: 20, atOnce: 4 });
    await sendRequests(port, { kind: { events: 20 }, count: 10, atOnce: 2 });
  }
  site.store.setMode("reset");
  await wait(RESET_MS);
  site.store.setMode("up");
  await wait(AFTER_RESET_MS);
  rmSync(folder, { recursive: true });

  setFlagsFromString("--flush-bytecode");
  writeFileSync(code, script.createCachedData());
  process.exit(0);
};

// The boxes in this process go on after what nobody handles.
keepUsedCode().catch((error) => {
  console.error(error);
  process.exit(1);
});
