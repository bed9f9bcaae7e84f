/** Draws SVG plots of the results. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { CurvePoint, Summary } from './summary.js';

async function toSvg(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  return view.toSVG();
}

interface PlotRow {
  readonly value: number;
  readonly measure: string;
  readonly figure: number;
}

const TITLES = { cusumThreshold: 'CUSUM threshold', gainPerRound: 'growth per round / threshold' };

/** Plots detection time and false ejections over one parameter. */
export function plotCurve(points: readonly CurvePoint[]): Promise<string> {
  const parameter = points[0]?.parameter ?? 'cusumThreshold';
  const rows: PlotRow[] = points.flatMap((point) =>
    [
      { measure: '5x slow, median', figure: point.slowMedianMs },
      { measure: '5x slow, worst', figure: point.slowWorstMs },
      { measure: '30% failed, median', figure: point.failingMedianMs },
      { measure: '30% failed, worst', figure: point.failingWorstMs },
    ].flatMap(({ measure, figure }) =>
      figure === null ? [] : [{ value: point.value, measure, figure }],
    ),
  );
  const x = { field: 'value', type: 'quantitative' as const, title: TITLES[parameter] };
  return toSvg({
    vconcat: [
      {
        width: 480,
        height: 200,
        data: { values: rows },
        mark: { type: 'line', point: true },
        encoding: {
          x,
          y: { field: 'figure', type: 'quantitative', title: 'detection time (ms)' },
          color: { field: 'measure', type: 'nominal', title: null },
        },
      },
      {
        width: 480,
        height: 120,
        data: { values: [...points] },
        mark: { type: 'line', point: true },
        encoding: {
          x,
          y: {
            field: 'falseEjectionsPerHour',
            type: 'quantitative',
            title: 'false ejections per hour',
          },
        },
      },
    ],
  });
}

/** Plots the share answered for the worst-served team, by scenario and variant. */
export function plotWorstTeam(summaries: readonly Summary[]): Promise<string> {
  return toSvg({
    width: 480,
    data: { values: [...summaries] },
    mark: { type: 'point', filled: true, size: 60 },
    encoding: {
      y: { field: 'scenario', type: 'nominal', title: null, sort: null },
      x: {
        field: 'worstTeamShare',
        type: 'quantitative',
        title: 'worst-served team: share answered in time',
        scale: { zero: false },
      },
      color: { field: 'variant', type: 'nominal', title: null },
      shape: { field: 'deployment', type: 'nominal', title: null },
    },
  });
}
