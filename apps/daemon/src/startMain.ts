#!/usr/bin/env node
/** `npm start`: a whole site in one process, on embedded stand-ins, and one streamed ad draft. */
import { command, flag, number, option, run } from "cmd-ts";
import { EXAMPLE_KEY } from "@stairgauge/standins";
import { createLogger } from "@stairgauge/telemetry";
import { EXIT_FAILED, EXIT_OK } from "./constants.js";
import { createEmbeddedSite } from "./embeddedSite.js";
import { streamExampleDraft } from "./streamExampleDraft.js";
import { stopOnSignals } from "./stopOnSignals.js";

const DEFAULT_PORT = 8080;

const printHelp = (port: number) => {
  const body = `{"model":"redac-llm","stream":true,"messages":[{"role":"user","content":"An ad for a bicycle"}]}`;
  process.stdout.write(
    [
      "",
      `Serving on http://127.0.0.1:${port} with the key ${EXAMPLE_KEY}. Try:`,
      "",
      `  curl -N http://127.0.0.1:${port}/v1/chat/completions -H 'Authorization: Bearer ${EXAMPLE_KEY}' -H 'Content-Type: application/json' -d '${body}'`,
      "",
      "Stop with Ctrl-C.",
      "",
    ].join("\n"),
  );
};

const app = command({
  name: "start",
  description: "Serve an example site from embedded stand-ins",
  args: {
    port: option({ type: number, long: "port", defaultValue: () => DEFAULT_PORT }),
    once: flag({ long: "once", description: "exit after the first stream" }),
  },
  handler: async ({ port, once }) => {
    const logger = createLogger({
      level: once ? "warn" : "info",
      format: process.stderr.isTTY ? "pretty" : "json",
      base: { box: "example" },
    });
    const site = await createEmbeddedSite({ port, logger });
    stopOnSignals(site.stop);
    const isWhole = await streamExampleDraft(site.port);
    if (!isWhole) process.exitCode = EXIT_FAILED;
    if (once) {
      await site.stop();
      process.exit(isWhole ? EXIT_OK : EXIT_FAILED);
    }
    printHelp(site.port);
  },
});

await run(app, process.argv.slice(2));
