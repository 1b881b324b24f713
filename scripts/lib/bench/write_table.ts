import { loadavg } from "node:os";

/** One measurement: the columns of the load, then those of the results. */
type Row = { readonly [column: string]: number | string };

/**
 * Prints measurements as a table, with the command that made them, the time and
 * the load average.
 */
export function writeTable(title: string, rows: readonly Row[]): void {
  const columns = Object.keys(rows[0] ?? {});
  const format = (value: number | string | undefined) =>
    typeof value === "number" ? String(Number(value.toPrecision(4))) : value;
  const cells = [
    columns,
    ...rows.map((row) => columns.map((column) => format(row[column]) ?? "")),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((line) => line[index]?.length ?? 0))
  );
  const command = process.argv.slice(1).map((argument) =>
    argument.replace(/^.*\/dist\//, "dist/")
  ).join(" ");
  const loadAverage = (loadavg()[0] ?? 0).toFixed(1);
  console.log(`\n${title}`);
  console.log(
    `(node ${command}; ${
      new Date().toISOString()
    }; load average ${loadAverage})`,
  );
  for (const line of cells) {
    console.log(
      `  ${
        line.map((cell, index) => cell.padStart(widths[index] ?? 0)).join("  ")
      }`,
    );
  }
}
