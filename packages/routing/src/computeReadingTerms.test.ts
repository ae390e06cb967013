/** Guards against keeping a connection unread for longer than its client waits. */
import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { computeReadingTerms } from "./computeReadingTerms.js";
import type { Route, RouteKind } from "./types.js";

const makeRoute = (kind: RouteKind) => ({ kind, answerLimit: 9_000 as Ms }) as Route;

describe("computeReadingTerms", () => {
  it.each<[RouteKind, number | undefined, number | undefined, number]>([
    ["once", 600, undefined, 600],
    ["once", undefined, undefined, 9_000],
    ["stream", 30_000, undefined, 9_000],
    ["repeatable", 600, 200, 600],
    ["repeatable", 6_000, 1_000, 6_000],
  ])("%s, client waits %s", (kind, patience, readWithin, answerWithin) => {
    const terms = computeReadingTerms(makeRoute(kind), patience as Ms | undefined);
    expect(terms).toEqual({ readWithin, answerWithin });
  });
});
