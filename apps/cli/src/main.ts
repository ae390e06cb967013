#!/usr/bin/env node
/** `stairgauge`, the command line for operators. */
import { readFileSync } from "node:fs";
import {
  command,
  flag,
  multioption,
  array,
  option,
  optional,
  positional,
  restPositionals,
  runSafely,
  string,
  subcommands,
} from "cmd-ts";
import { Ok } from "@stairgauge/common";
import {
  approveBundle,
  diffBundles,
  proposeBundle,
  rollOutBundle,
  showBundle,
  showHistory,
  showStatus,
  validateBundle,
} from "./bundleSteps.js";
import { createOperatorKey, createWorkspaceKey } from "./createKeys.js";
import { EXIT_OK, EXIT_USAGE } from "./exitCodes.js";
import { readText, withSite } from "./openSite.js";
import { explainLogs, sumUpLosses } from "./diagnose.js";
import { printResult, renderTable, type Row } from "./output.js";
import { readBoxes } from "./readBoxes.js";
import { sumUpDecisions } from "./sumUpDecisions.js";

const VERSION = "0.1.0";
const STANDARD_INPUT = 0;

const json = flag({ long: "json", description: "JSON for programs" });
const settings = option({
  type: string,
  long: "settings",
  env: "STAIRGAUGE_SETTINGS",
  description: "YAML settings of the command line",
});
const operator = option({
  type: string,
  long: "as",
  description: "the operator who acts",
});
const digest = positional({ type: string, displayName: "DIGEST" });
const file = positional({ type: string, displayName: "FILE" });

const bundle = subcommands({
  name: "bundle",
  cmds: {
    validate: command({
      name: "validate",
      args: { file, json },
      handler: (args) => printResult(validateBundle(args.file), args),
    }),
    diff: command({
      name: "diff",
      description: "from and to: a file, a digest, or `active`",
      args: {
        from: positional({ type: string, displayName: "FROM" }),
        to: positional({ type: string, displayName: "TO" }),
        settings,
        json,
      },
      handler: async (args) =>
        printResult(await diffBundles(args.settings, args.from, args.to), args),
    }),
    propose: command({
      name: "propose",
      args: { file, operator, settings, json },
      handler: async (args) =>
        printResult(await proposeBundle(args.settings, args.file, args.operator), args),
    }),
    approve: command({
      name: "approve",
      args: {
        digest,
        operator,
        keyFile: option({ type: string, long: "key", description: "private key, PEM" }),
        settings,
        json,
      },
      handler: async (args) => printResult(await approveBundle(args), args),
    }),
    "roll-out": command({
      name: "roll-out",
      args: { digest, operator, settings, json },
      handler: async (args) =>
        printResult(await rollOutBundle(args.settings, args.digest, args.operator), args),
    }),
    status: command({
      name: "status",
      args: { settings, json },
      handler: async (args) => printResult(await showStatus(args.settings), args),
    }),
    history: command({
      name: "history",
      args: { settings, json },
      handler: async (args) => printResult(await showHistory(args.settings), args),
    }),
    show: command({
      name: "show",
      args: {
        name: positional({ type: string, displayName: "active|DIGEST|FILE" }),
        settings,
        json,
      },
      handler: async (args) =>
        printResult(await showBundle(args.settings, args.name), args),
    }),
  },
});

const keys = subcommands({
  name: "keys",
  cmds: {
    create: command({
      name: "create",
      description: "a workspace's key and its hash",
      args: { json },
      handler: (args) => printResult(Ok(createWorkspaceKey()), args),
    }),
    "create-operator": command({
      name: "create-operator",
      description: "an operator's key pair, PEM",
      args: { json },
      handler: (args) => printResult(Ok(createOperatorKey()), args),
    }),
  },
});

const boxes = command({
  name: "boxes",
  args: { settings, json },
  handler: async (args) => {
    const result = await withSite(args.settings, async (site) => {
      const statuses = await readBoxes(site.settings.boxes);
      const rows: readonly Row[] = statuses.map((one) => ({
        address: one.address,
        box: one.box,
        "data hall": one.dataHall,
        bundle: one.bundleVersion,
        "open answers": one.openAnswers,
        stopping: one.isStopping,
      }));
      return Ok({ json: statuses, text: renderTable(rows) });
    });
    printResult(result, args);
  },
});

const decisions = command({
  name: "decisions",
  description: "sums up decision log lines of a file, or - for standard input",
  args: { file, json },
  handler: (args) => {
    const text =
      args.file === "-" ? Ok(readFileSync(STANDARD_INPUT, "utf8")) : readText(args.file);
    printResult(text.map(sumUpDecisions), args);
  },
});

const logs = restPositionals({
  type: string,
  displayName: "LOGS",
  description: "log files of boxes, or - for standard input",
});

const explain = command({
  name: "explain",
  description:
    "tells one request's way through a box and the cause of its end, from the boxes' logs",
  examples: [
    {
      description: "the request r-17 in all logs of a folder",
      command: "explain r-17 logs/*.log",
    },
  ],
  args: {
    request: positional({ type: string, displayName: "REQUEST-ID" }),
    logs,
    json,
  },
  handler: async (args) => printResult(await explainLogs(args.request, args.logs), args),
});

const losses = command({
  name: "losses",
  description: "sums up all requests of the boxes' logs by route and cause",
  examples: [
    {
      description: "a table, and a picture by the second",
      command: "losses logs/*.log --plot losses.svg",
    },
  ],
  args: {
    logs,
    plot: option({
      type: optional(string),
      long: "plot",
      description: "SVG file to draw what was not served in time into",
    }),
    asked: option({
      type: optional(string),
      long: "asked",
      description: "file of the ids that callers sent, one a line",
    }),
    worth: multioption({
      type: array(string),
      long: "worth",
      description: "ROUTE=NUMBER, what a request of the route is worth (1 otherwise)",
    }),
    json,
  },
  handler: async (args) => printResult(await sumUpLosses(args), args),
});

const app = subcommands({
  name: "stairgauge",
  version: VERSION,
  cmds: { bundle, keys, boxes, decisions, explain, losses },
});

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") {
  const { message, into, exitCode } = result.error.config;
  (into === "stdout" ? process.stdout : process.stderr).write(`${message}\n`);
  process.exitCode = exitCode === 0 ? EXIT_OK : EXIT_USAGE;
} else {
  // NOTE: cmd-ts returns no value after it printed the help.
  await (result.value.value as Readonly<{ value: unknown }> | undefined)?.value;
}
