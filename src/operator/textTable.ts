/** Space between two columns. */
const columnGap = "  ";

/**
 * Lays out rows of text in columns for a terminal.
 *
 * @returns One line for the headings and one for each row, without spaces at the end.
 */
export function textTable(headings: readonly string[], rows: readonly (readonly string[])[]): readonly string[] {
    const all = [headings, ...rows];
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => (row[column] ?? "").length))
    );
    return all.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(columnGap).trimEnd());
}
