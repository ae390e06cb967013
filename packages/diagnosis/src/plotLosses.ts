/** Plots the requests that were not served in time, per second. */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { groupBy } from "./groupBy.js";
import { describeCause } from "./classifyCause.js";
import type { RequestAccount } from "./types.js";

const WIDTH_PX = 900;
const ROW_HEIGHT_PX = 110;
/** Wide enough for the longest description of a cause. */
const LABEL_PX = 320;

/** Rows of the plot; the routes with the fewest losses share the last row. */
const MAX_ROWS = 6;
const OTHER_ROUTES = "(other routes)";

type Point = Readonly<{ route: string; cause: string; second: number }>;

const toPoint = ({ route, cause, second }: RequestAccount): Point => ({
  route,
  cause: describeCause(cause),
  second,
});

/** Returns the routes sorted by their number of lost requests, highest first. */
const rankRoutes = (points: readonly Point[]): readonly string[] =>
  [...groupBy(points, ({ route }) => route)]
    .sort(([, a], [, b]) => b.length - a.length)
    .map(([route]) => route);

const groupOthers = (points: readonly Point[]): readonly Point[] => {
  const ranked = rankRoutes(points);
  if (ranked.length <= MAX_ROWS) return points;
  const shown = new Set(ranked.slice(0, MAX_ROWS - 1));
  return points.map((point) =>
    shown.has(point.route) ? point : { ...point, route: OTHER_ROUTES },
  );
};

const buildSpec = (points: readonly Point[]): TopLevelSpec => ({
  $schema: "https://vega.github.io/schema/vega-lite/v6.json",
  title: {
    text: "Requests that were not served in time",
    subtitle: "by route and cause, by the second in which they came",
    anchor: "start",
  },
  data: { values: [...points] },
  facet: {
    row: {
      field: "route",
      type: "nominal",
      title: "route",
      sort: [...rankRoutes(points)],
    },
  },
  spec: {
    width: WIDTH_PX,
    height: ROW_HEIGHT_PX,
    mark: { type: "bar", tooltip: true },
    encoding: {
      x: {
        field: "second",
        type: "quantitative",
        bin: { step: 1 },
        title: "second",
        axis: { format: "d" },
      },
      y: { aggregate: "count", type: "quantitative", title: "requests" },
      color: {
        field: "cause",
        type: "nominal",
        title: "cause",
        scale: { scheme: "tableau20" },
      },
    },
  },
  resolve: { scale: { y: "independent" } },
  config: {
    font: "sans-serif",
    view: { stroke: "#ddd" },
    legend: { labelLimit: LABEL_PX },
  },
});

/** Renders an SVG plot of all requests that were not served in time. */
export const renderLossPlot = async (
  accounts: readonly RequestAccount[],
): Promise<string> => {
  const points = accounts.filter(({ cause }) => cause.kind !== "served").map(toPoint);
  const spec = compile(buildSpec(groupOthers(points))).spec;
  const view = new View(parse(spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
};
