// Builds the daemon of a box: one bundle, the machine code of its modules, and a small start file.
//
// A start compiles some hundred modules otherwise, a third of a second on a box's share of a core, in which a box
// that was killed serves nobody. The code is kept beside the bundle; should the runtime refuse it, the bundle
// is compiled as usual.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { resolve } from "node:path";
import { runInThisContext, Script } from "node:vm";
import { build } from "esbuild";

const BUNDLE = "target/box.cjs";
const CODE = "target/box.code";
const START = "target/stairgauged.cjs";
const KEEPER = "target/keepCode.cjs";
/** The keeper takes about 5 s. */
const KEEPER_TIMEOUT_MS = 60_000;

// The schema library brings its messages in some forty languages; settings and logs need one.
const englishOnly = {
  name: "english-only",
  setup: ({ onLoad }) => {
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: 'export { default as en } from "./en.js";',
      loader: "js",
    }));
  },
};

const smallLibraries = {
  name: "small-libraries",
  setup: ({ onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve("deploy/undiciCore.cjs") }));
    onResolve({ filter: /^ts-results$/ }, () => ({
      path: resolve("deploy/tsResults.mjs"),
    }));
  },
};

await build({
  entryPoints: ["apps/box/src/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  conditions: ["@stairgauge/source"],
  minify: true,
  plugins: [englishOnly, smallLibraries],
  legalComments: "none",
});

// V8 accepts kept code only under the flags that it was made with, and compares their values when it reads the code.
// The heap's limits are flags, so with them on the command line it refuses the code of Node's own modules too, which costs
// 40 ms of a start. The heap has taken its limits from them by then, so they are set back to their defaults first.
const RESET_FLAGS = `for (const flag of ["--max-old-space-size=0", "--max-semi-space-size=0"]) require("node:v8").setFlagsFromString(flag);
`;

// Signals are held first: reading the program takes a good part of a start.
const {
  outputFiles: [holdSignals],
} = await build({
  entryPoints: ["apps/box/src/holdSignals.ts"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "iife",
  conditions: ["@stairgauge/source"],
  minify: true,
  write: false,
});

const START_FILE = `${holdSignals.text}${RESET_FLAGS}const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");
const path = join(__dirname, "box.cjs");
const source = readFileSync(path, "utf8");
let cachedData;
try {
  cachedData = readFileSync(join(__dirname, "box.code"));
} catch {
  // Without the kept code the bundle is compiled as usual.
}
const script = new Script("(function(require,module,exports){" + source + "\\n})", { filename: path, cachedData });
const box = { exports: {} };
script.runInThisContext()(require, box, box.exports);
box.exports.runBox({ keptCode: !cachedData ? "absent" : script.cachedDataRejected ? "refused" : "used" });
`;

writeFileSync(START, START_FILE);

/** Runs the bundle and keeps the code of all functions that it used; returns whether that succeeded. */
const keepUsedCode = async () => {
  await build({
    entryPoints: ["deploy/keepCode.js"],
    outfile: KEEPER,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    banner: { js: RESET_FLAGS },
    plugins: [englishOnly, smallLibraries],
    conditions: ["@stairgauge/source"],
    legalComments: "none",
  });
  const { status } = spawnSync(
    process.execPath,
    [...process.execArgv, KEEPER, BUNDLE, CODE],
    {
      stdio: ["ignore", "ignore", "inherit"],
      timeout: KEEPER_TIMEOUT_MS,
      // A box that is asked to stop ends with status 0.
      killSignal: "SIGKILL",
    },
  );
  return status === 0;
};

/** Keeps the code of the functions that the modules ran when they were loaded. */
const keepLoadedCode = () => {
  runInThisContext(`(function(require){${RESET_FLAGS}})`)(createRequire(import.meta.url));
  const path = resolve(BUNDLE);
  const source = readFileSync(path, "utf8");
  const script = new Script(`(function(require,module,exports){${source}\n})`, {
    filename: path,
  });
  const box = { exports: {} };
  script.runInThisContext()(createRequire(path), box, box.exports);
  writeFileSync(CODE, script.createCachedData());
};

if (!(await keepUsedCode())) {
  process.stderr.write("build: the box did not run, keeping less machine code\n");
  keepLoadedCode();
}
