/** More boxes than may be linked in a full mesh, in front of the stand-in platform. */
import { describe, expect, it } from "vitest";
import { startUsersSite } from "@stairgauge/standins";
import {
  ask,
  closers,
  BUSY_MACHINE_TIMEOUT_MS,
  KEY_REMOVAL_MS,
  makeGeneration,
  startBox,
  waitFor,
} from "./box.testkit.js";

const BOXES = 14;
const HUBS = 4;
const ENGINES = 3;

/**
 * Age of the configuration in ms beyond which a box must refuse keys: 300 ms before the bound
 * on their removal.
 */
const KEYS_REFUSED_MS = KEY_REMOVAL_MS - 300;

type FleetBox = Awaited<ReturnType<typeof startBox>>;

/**
 * Sends one request to a box. Returns the answer and, if the box refused it, the reason and the
 * configuration's age from its log line.
 */
const askOne = async ({ ports, lines }: FleetBox, id: string) => {
  const headers = makeGeneration(300, 4);
  const { status, isWhole } = await ask(ports, { path: "/draft/1", id, headers });
  const refusal = lines.find(
    ({ event, request }) => event === "refused" && request === id,
  );
  return { status, isWhole, reason: refusal?.["reason"], age: refusal?.["versionAgeMs"] };
};

type BoxAnswer = Awaited<ReturnType<typeof askOne>>;

/**
 * Expects a refusal if the configuration was too old: the boxes and the store share one thread,
 * and if that is held up, a box doesn't reach the store for too long.
 */
const computeExpectedAnswer = ({ reason, age }: BoxAnswer): BoxAnswer =>
  reason === "knowledge_too_old" && Number(age) >= KEYS_REFUSED_MS
    ? { status: 503, isWhole: true, reason, age }
    : { status: 200, isWhole: true, reason: undefined, age: undefined };

const startFleet = async () => {
  const site = await startUsersSite({ engines: ENGINES, services: 0 });
  closers.push(site.close);
  site.putConfiguration();
  const boxes = await Promise.all(
    Array.from({ length: BOXES }, (_, i) => startBox(site.store.address, `box-${i}`)),
  );
  const getLast = (lines: (typeof boxes)[number]["lines"]) =>
    lines.findLast(({ event }) => event === "peers");
  await waitFor(() =>
    boxes.every(({ lines }) => {
      const last = getLast(lines);
      const servers = lines.filter(({ event }) => event === "server_joined");
      const isConfigured = lines.some(({ event }) => event === "configuration_adopted");
      return isConfigured && last?.boxes === BOXES && servers.length >= ENGINES;
    }),
  );
  return { boxes, countLinks: () => boxes.map(({ lines }) => getLast(lines)?.links) };
};

describe("a fleet with more boxes than a full mesh may have", () => {
  it(
    "links each box to the hubs, and places generations by a hub's decision",
    async () => {
      const { boxes, countLinks } = await startFleet();
      expect(countLinks().toSorted()).toEqual(
        Array.from({ length: BOXES }, (_, i) => (i < HUBS ? HUBS - 1 : HUBS)),
      );
      const findAdvisors = () =>
        boxes
          .map(({ lines }) => lines.findLast(({ event }) => event === "placed")?.by)
          .filter((by) => by !== undefined);
      // Until links are up each box decides by itself; a hub that is held up for 150 ms is
      // passed over for 3 s.
      let rounds = 0;
      await waitFor(async () => {
        rounds += 1;
        const last = await Promise.all(
          boxes.map((box, i) => askOne(box, `round-${rounds}-box-${i}`)),
        );
        expect(last).toEqual(last.map(computeExpectedAnswer));
        if (last.some(({ status }) => status !== 200)) return false;
        const advisors = findAdvisors();
        return advisors.length === BOXES - HUBS && new Set(advisors).size === 1;
      });
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
