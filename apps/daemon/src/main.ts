#!/usr/bin/env node
/**
 * `stairgauged`: handles signals from its first statement, then reads the program. Modules that are imported statically
 * would all be read before the first statement.
 */
import { IGNORED_SIGNALS, RELOAD_SIGNAL, STOP_SIGNALS } from "@stairgauge/common/signals";

for (const signal of STOP_SIGNALS) process.on(signal, () => process.exit(0));
for (const signal of [RELOAD_SIGNAL, ...IGNORED_SIGNALS])
  process.on(signal, () => undefined);

await import("./runDaemon.js");
