import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';

/** One point of a plot. */
export interface PlotPoint {
  readonly x: number;
  readonly y: number;
  readonly series: string;
}

/** Formats a line plot as SVG. */
export const formatLines = async (
  points: readonly PlotPoint[],
  titles: { readonly plot: string; readonly x: string; readonly y: string },
): Promise<string> => {
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: titles.plot,
    width: 560,
    height: 300,
    data: { values: points.map((point) => ({ ...point })) },
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'x', type: 'quantitative', title: titles.x },
      y: { field: 'y', type: 'quantitative', title: titles.y, scale: { domain: [0, 1] } },
      color: { field: 'series', type: 'nominal', title: null },
    },
  };
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  return view.toSVG();
};
