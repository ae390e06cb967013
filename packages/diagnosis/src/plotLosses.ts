/** Draws what was lost, second by second, as a picture. */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { describeCause } from "./judgeCause.js";
import type { RequestAccount } from "./types.js";

const WIDTH_PX = 900;
const ROW_HEIGHT_PX = 110;

type Point = Readonly<{ route: string; cause: string; second: number }>;

const toPoint = ({ route, cause, second }: RequestAccount): Point => ({
  route,
  cause: describeCause(cause),
  second,
});

const buildSpec = (points: readonly Point[]): TopLevelSpec => ({
  $schema: "https://vega.github.io/schema/vega-lite/v6.json",
  title: {
    text: "Requests that were not served in time",
    subtitle: "by route and cause, by the second in which they came",
    anchor: "start",
  },
  data: { values: [...points] },
  facet: { row: { field: "route", type: "nominal", title: "route" } },
  spec: {
    width: WIDTH_PX,
    height: ROW_HEIGHT_PX,
    mark: { type: "bar", tooltip: true },
    encoding: {
      x: { field: "second", type: "quantitative", bin: { step: 1 }, title: "second" },
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
  config: { font: "sans-serif", view: { stroke: "#ddd" } },
});

/** Renders an SVG of all requests but those served in time. */
export const renderLossPlot = async (
  accounts: readonly RequestAccount[],
): Promise<string> => {
  const points = accounts.filter(({ cause }) => cause.kind !== "served").map(toPoint);
  const view = new View(parse(compile(buildSpec(points)).spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
};
