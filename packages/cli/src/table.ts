/** Formats rows as a table of text. */

type Row = Readonly<Record<string, unknown>>;

const COLUMN_GAP = '  ';

const toCell = (value: unknown): string => {
  if (typeof value === 'boolean') return value ? 'yes' : 'no';
  return String(value);
};

/** Lines of a table whose headings are the keys of the first row; `(none)` without rows. */
export function formatTable(rows: readonly Row[]): string[] {
  const [first] = rows;
  if (first === undefined) return ['(none)'];
  const headings = Object.keys(first);
  const cells = [headings, ...rows.map((row) => headings.map((name) => toCell(row[name])))];
  const widths = headings.map((_, i) => Math.max(...cells.map((line) => line[i]?.length ?? 0)));
  return cells.map((line) =>
    line
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}
