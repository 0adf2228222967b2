const COLUMN_GAP = '  ';

/**
 * Formats rows in columns that are as wide as their longest cell.
 *
 * @example
 * formatTable({header: ['site', 'accounts'], rows: [['waw', '10']]});
 */
export function formatTable(options: {
  header: readonly string[];
  rows: readonly (readonly string[])[];
}): string {
  const lines = [options.header, ...options.rows];
  const widths = options.header.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines.map((line) => `${formatLine(line, widths)}\n`).join('');
}

function formatLine(
  line: readonly string[],
  widths: readonly number[],
): string {
  const cells = line.map((cell, column) => cell.padEnd(widths[column] ?? 0));
  return cells.join(COLUMN_GAP).trimEnd();
}
