import { defineConfig } from "vitest/config";

export default defineConfig({
  resolve: { conditions: ["@stairgauge/source"] },
  ssr: { resolve: { conditions: ["@stairgauge/source"] } },
  test: {
    include: ["{packages/*,apps/*,platform}/src/**/*.test.ts"],
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});
