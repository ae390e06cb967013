import { defineConfig } from "vitest/config";

const TESTS = "{packages/*,apps/*,platform}/src/**/*.test.ts";

/** Tests that start processes near the limits of a machine. They run one at a time, after all others. */
const ALONE = "{packages/*,apps/*,platform}/src/**/*.alone.test.ts";

export default defineConfig({
  resolve: { conditions: ["@stairgauge/source"] },
  ssr: { resolve: { conditions: ["@stairgauge/source"] } },
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: "together",
          include: [TESTS],
          exclude: [ALONE],
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "alone",
          include: [ALONE],
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
