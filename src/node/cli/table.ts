/** A column of a printed table. */
export interface Column<Row> {
  readonly title: string;
  readonly read: (row: Row) => string | number;
  /** Aligns the column to the right. */
  readonly isNumber?: boolean;
}

const COLUMN_SEPARATOR = '  ';

/** Formats rows as a table with aligned columns. */
export const formatTable = <Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string => {
  const cells = rows.map((row) => columns.map((column) => String(column.read(row))));
  const titles = columns.map((column) => column.title);
  const widths = titles.map((title, index) =>
    Math.max(title.length, ...cells.map((line) => line[index]!.length)),
  );
  const formatLine = (line: readonly string[]): string =>
    line
      .map((cell, index) =>
        columns[index]!.isNumber ? cell.padStart(widths[index]!) : cell.padEnd(widths[index]!),
      )
      .join(COLUMN_SEPARATOR)
      .trimEnd();
  return [titles, ...cells].map((line) => `${formatLine(line)}\n`).join('');
};
