/** Renders results as text tables or as JSON. */
import type {
  BoundResult,
  CaseResult,
  ExperimentResult,
  RatioResult,
} from './types.js';

const DECIMALS = 3;

/** Result of a run with the name, seed and commit that identify it. */
export interface Report extends ExperimentResult {
  readonly experiment: string;
  readonly seed: number;
  readonly commit: string;
}

/**
 * Renders a report as text tables.
 *
 * @example
 * process.stdout.write(renderReport(report));
 */
export function renderReport(report: Report): string {
  const {experiment, seed, commit} = report;
  const sections = [
    `${experiment}, seed ${seed}, commit ${commit}`,
    renderTable(
      ['case', 'unit', 'n', 'p50', 'p95', 'p99', 'max'],
      report.cases.map(caseCells),
    ),
    renderTable(['ratio', 'value'], report.ratios.map(ratioCells)),
    renderTable(
      ['bound', 'stated', 'measured', 'holds'],
      report.bounds.map(boundCells),
    ),
  ];
  return `${sections.filter((text) => text !== '').join('\n\n')}\n`;
}

/**
 * Renders a report as one line of JSON, without plots.
 *
 * @example
 * process.stdout.write(renderJson(report));
 */
export function renderJson(report: Report): string {
  const {experiment, seed, commit, cases, ratios, bounds} = report;
  const shape = {experiment, seed, commit, cases, ratios, bounds};
  return `${JSON.stringify(shape)}\n`;
}

function renderTable(head: string[], rows: string[][]): string {
  if (rows.length === 0) return '';
  const table = [head, ...rows];
  const widths = head.map((_, column) =>
    Math.max(...table.map((row) => row[column]!.length)),
  );
  const render = (row: string[]): string =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ');
  return table.map((row) => render(row).trimEnd()).join('\n');
}

function caseCells(row: CaseResult): string[] {
  const figures = [row.p50, row.p95, row.p99, row.max].map(formatNumber);
  return [row.name, row.unit, String(row.n), ...figures];
}

function ratioCells(row: RatioResult): string[] {
  return [row.name, formatNumber(row.value)];
}

function boundCells(row: BoundResult): string[] {
  const holds = row.holds ? 'yes' : 'NO';
  return [
    row.name,
    formatNumber(row.stated),
    formatNumber(row.measured),
    holds,
  ];
}

function formatNumber(value: number): string {
  return String(Number(value.toFixed(DECIMALS)));
}
