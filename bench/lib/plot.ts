/** Renders line plots as SVG and writes them into a report page. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import type {Report} from './report.js';
import {renderReport} from './report.js';
import type {Plot, PlotPoint, PlotSeries} from './types.js';

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = 56;
const TICKS = 5;
const LEGEND_STEP = 18;
const COLOURS: readonly string[] = ['#1b6ca8', '#c4421a', '#3f7d20', '#7a4988'];

interface Scale {
  readonly maxX: number;
  readonly maxY: number;
}

/**
 * Writes `<experiment>.html` and an SVG file for each plot.
 *
 * @example
 * writeReport({report, directory: 'report'});
 */
export function writeReport(options: {
  report: Report;
  directory: string;
}): void {
  const {report, directory} = options;
  const {experiment, plots = []} = report;
  mkdirSync(directory, {recursive: true});
  const svgs = plots.map(renderPlot);
  svgs.forEach((svg, i) => {
    const name = `${experiment}-${plots[i]!.name}.svg`;
    writeFileSync(join(directory, name), svg);
  });
  const text = escapeText(renderReport(report));
  const body = `${svgs.join('\n')}\n<pre>${text}</pre>`;
  const head = `<!doctype html><meta charset="utf-8"><title>${experiment}</title>`;
  writeFileSync(join(directory, `${experiment}.html`), `${head}\n${body}\n`);
}

/**
 * Renders a plot as an SVG document.
 *
 * @example
 * renderPlot({name: 'goodput', title: '', xLabel: '', yLabel: '', series});
 */
export function renderPlot(plot: Plot): string {
  const points = plot.series.flatMap(({points: all}) => all);
  const scale: Scale = {
    maxX: Math.max(...points.map(({x}) => x), Number.MIN_VALUE),
    maxY: Math.max(...points.map(({y}) => y), Number.MIN_VALUE),
  };
  const parts = [
    renderText({x: MARGIN, y: 24, content: plot.title}),
    renderText({x: WIDTH / 2, y: HEIGHT - 12, content: plot.xLabel}),
    renderText({x: 8, y: MARGIN - 12, content: plot.yLabel}),
    ...renderAxes(scale),
    ...plot.series.flatMap((series, i) => renderSeries({series, i, scale})),
  ];
  const size = `width="${WIDTH}" height="${HEIGHT}"`;
  const font = 'font-family="sans-serif" font-size="12"';
  const open = `<svg xmlns="http://www.w3.org/2000/svg" ${size} ${font}>`;
  return `${open}\n${parts.join('\n')}\n</svg>\n`;
}

function renderAxes(scale: Scale): string[] {
  const ticks = Array.from({length: TICKS + 1}, (_, i) => i / TICKS);
  const labels = ticks.flatMap((fraction) => {
    const x = {x: fraction * scale.maxX, y: 0};
    const y = {x: 0, y: fraction * scale.maxY};
    return [
      renderText({
        x: toPixelX(x, scale) - 8,
        y: HEIGHT - 36,
        content: formatTick(x.x),
      }),
      renderText({x: 8, y: toPixelY(y, scale) + 4, content: formatTick(y.y)}),
    ];
  });
  const left = MARGIN;
  const bottom = HEIGHT - MARGIN;
  const path = `${left},${MARGIN} ${left},${bottom} ${WIDTH - MARGIN},${bottom}`;
  return [`<polyline points="${path}" fill="none" stroke="#444"/>`, ...labels];
}

function renderSeries(options: {
  series: PlotSeries;
  i: number;
  scale: Scale;
}): string[] {
  const {series, i, scale} = options;
  const colour = COLOURS[i % COLOURS.length]!;
  const path = series.points
    .map((point) => `${toPixelX(point, scale)},${toPixelY(point, scale)}`)
    .join(' ');
  const stroke = `stroke="${colour}" stroke-width="2"`;
  return [
    `<polyline points="${path}" fill="none" ${stroke}/>`,
    renderText({
      x: WIDTH - 2 * MARGIN - 60,
      y: MARGIN + i * LEGEND_STEP,
      content: series.name,
      colour,
    }),
  ];
}

function toPixelX(point: PlotPoint, scale: Scale): number {
  return round(MARGIN + (point.x / scale.maxX) * (WIDTH - 2 * MARGIN));
}

function toPixelY(point: PlotPoint, scale: Scale): number {
  const height = HEIGHT - 2 * MARGIN;
  return round(HEIGHT - MARGIN - (point.y / scale.maxY) * height);
}

function renderText(options: {
  x: number;
  y: number;
  content: string;
  colour?: string;
}): string {
  const {x, y, content, colour = '#222'} = options;
  const body = escapeText(content);
  return `<text x="${x}" y="${y}" fill="${colour}">${body}</text>`;
}

function escapeText(content: string): string {
  return content.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function formatTick(value: number): string {
  return String(Number(value.toPrecision(3)));
}

function round(value: number): number {
  return Number(value.toFixed(1));
}
