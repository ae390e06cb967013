/**
 * Guards against a box that ends, or answers nobody, because the answers to its own calls come in very small pieces: reports of
 * engines, health checks, rows and changes of the store.
 */
import { beforeAll, describe, expect, it } from "vitest";
import { TABLE } from "@stairgauge/platform";
import { BUSY_MACHINE_TIMEOUT_MS, waitMs } from "./box.testkit.js";
import {
  buildBundle,
  DEPLOYED_MACHINE,
  type DeployedBox,
} from "./deployedBox.testkit.js";
import { askCounted } from "./endlessAnswers.testkit.js";
import { DEADLINE_MS } from "./smallPieces.testkit.js";
import {
  ENDLESS,
  startBoxBeforeCalls,
  UNPROVEN,
  watchBox,
  writeLongReport,
  type ChooseStoreWriting,
} from "./smallPiecesOfCalls.testkit.js";

const WATCHED_MS = 6_000;
const FIRST_CALLS = 20;
const CONFIGURATION_IN_FORCE_MS = 5_000;
const RETRY_MS = 100;

const askPage = async (box: DeployedBox, path: string, id: string) => {
  const asked = { path, id, deadlineMs: DEADLINE_MS };
  return (await askCounted(box.ports, asked)).status;
};

const checkSound = async (box: DeployedBox) => {
  const { memoryMb, ...outcome } = await watchBox(box, WATCHED_MS);
  const lines = outcome.hasEnded ? box.listLines().slice(-3) : [];
  expect({ ...outcome, lines }).toEqual({ hasEnded: false, notServed: [], lines: [] });
  expect(memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
};

const STORES: readonly (readonly [string, ChooseStoreWriting])[] = [
  ["each answer in chunks of 1 byte", () => "small_pieces"],
  ["each answer of 300,000 bytes, in chunks of 1 byte", () => "long_small_pieces"],
  [
    "each third answer without end",
    (call) => (call > FIRST_CALLS && call % 3 === 0 ? "endless" : "as_it_is"),
  ],
  [
    "answers without end, but for those of the configuration",
    (call, path) =>
      call > FIRST_CALLS && !path.includes(`table=${TABLE.operator}&`)
        ? "endless"
        : "as_it_is",
  ],
];

describe("a box whose own calls are answered in small pieces", () => {
  beforeAll(buildBundle, BUSY_MACHINE_TIMEOUT_MS);

  it.each([1, 12, 40])(
    "lives and serves others: reports without end of %i engines",
    async (engines) => {
      const box = await startBoxBeforeCalls({ engines, answers: { report: ENDLESS } });
      await checkSound(box);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each([
    [100_000, 12],
    [500_000, 3],
  ])(
    "lives and serves others: reports of %i bytes, in chunks of 1 byte, of %i engines",
    async (bytes, engines) => {
      const report = writeLongReport(bytes);
      const box = await startBoxBeforeCalls({ engines, answers: { report } });
      await checkSound(box);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "lives and serves others: health checks without end",
    async () => {
      const answers = { health: ENDLESS };
      const box = await startBoxBeforeCalls({ engines: 0, answers });
      const asked = Array.from({ length: 12 }, (_, i) =>
        askPage(box, `/again/${i}-${UNPROVEN}`, `unproven-${i}`),
      );
      await checkSound(box);
      await Promise.all(asked);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each(STORES)(
    "lives, serves others and reads the store: %s",
    async (_, store) => {
      const box = await startBoxBeforeCalls({ engines: 0, store });
      await checkSound(box);
      expect(await askPage(box, "/again/first", "first-page")).toBe(200);
      box.site.putConfiguration({ routes: [] });
      const until = performance.now() + CONFIGURATION_IN_FORCE_MS;
      let status = 200;
      for (let i = 0; status === 200 && performance.now() < until; i += 1) {
        status = await askPage(box, "/again/later", `later-${i}`);
        await waitMs(RETRY_MS);
      }
      expect(status).toBe(404);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
