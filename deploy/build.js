// Builds the daemon of a box into one file, so that a start reads and compiles as little as it can.
import { build } from "esbuild";

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

await build({
  entryPoints: ["apps/box/src/main.ts"],
  outfile: "target/stairgauged.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["@stairgauge/source"],
  minify: true,
  // Its wrapper hands require around, which a bundler cannot follow.
  external: ["ts-results"],
  plugins: [englishOnly],
  // Libraries in CommonJS call require, which a module does not have.
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
  legalComments: "none",
});
