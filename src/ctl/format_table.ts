/**
 * Formats rows that have the same keys as a table with a header line.
 * @param rows - The rows; null and undefined are shown as "-".
 */
export function formatTable(rows: readonly Record<string, unknown>[]): string {
  const names = Object.keys(rows[0] ?? {});
  const cells = rows.map((row) =>
    names.map((name) => String(row[name] ?? "-"))
  );
  const widths = names.map((name, column) =>
    Math.max(name.length, ...cells.map((row) => (row[column] ?? "").length))
  );
  return [names, ...cells].map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  ).join("\n");
}
