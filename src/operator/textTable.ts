/** Separator between two columns. */
const columnSeparator = "  ";

/**
 * Aligns rows of text in columns for a terminal.
 *
 * @returns One line for the headings and one for each row, without trailing spaces.
 */
export function formatTable(headings: readonly string[], rows: readonly (readonly string[])[]): readonly string[] {
    const allRows = [headings, ...rows];
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => (row[column] ?? "").length))
    );
    return allRows.map(row =>
        row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(columnSeparator).trimEnd()
    );
}
