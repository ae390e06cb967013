// Builds the daemon of a box into one file, so that a start reads one file only.
import { build } from "esbuild";

await build({
  entryPoints: ["apps/box/src/main.ts"],
  outfile: "target/stairgauged.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["@stairgauge/source"],
  // Libraries in CommonJS call require, which a module does not have.
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
  minifySyntax: true,
  // Its wrapper hands require around, which a bundler cannot follow.
  external: ["ts-results"],
  legalComments: "none",
});
