// Builds the daemon of a box: one bundle, the machine code of its modules, and a small start file.
//
// A start compiles some hundred modules otherwise, a third of a second on a box's share of a core, in which a box
// that was killed serves nobody. The code is kept beside the bundle; should the runtime refuse it, the bundle
// is compiled as usual.
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join, resolve } from "node:path";
import { Script } from "node:vm";
import { build } from "esbuild";

const BUNDLE = "target/box.cjs";
const CODE = "target/box.code";
const START = "target/stairgauged.cjs";

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

// Each workspace has its own copy of the library, all of one version; a start would read three of them.
const requireFromSettings = createRequire(resolve("packages/settings/package.json"));
const zod = join(dirname(requireFromSettings.resolve("zod/package.json")), "index.js");

await build({
  entryPoints: ["apps/box/src/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  alias: { zod },
  conditions: ["@stairgauge/source"],
  minify: true,
  plugins: [englishOnly, smallLibraries],
  legalComments: "none",
});

const START_FILE = `const { readFileSync } = require("node:fs");
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

const path = resolve(BUNDLE);
const source = readFileSync(path, "utf8");
const script = new Script(`(function(require,module,exports){${source}\n})`, {
  filename: path,
});
const box = { exports: {} };
script.runInThisContext()(createRequire(path), box, box.exports);
// Taken after the modules have run, so that it holds the functions that a start needs.
writeFileSync(CODE, script.createCachedData());
writeFileSync(START, START_FILE);
