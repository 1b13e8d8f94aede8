/** Formats a Markdown table; cells are escaped. */
export function markdownTable(headers: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [headers, headers.map(() => "---"), ...rows];
    return lines.map(cells => `| ${cells.map(escapeCell).join(" | ")} |`).join("\n");
}

function escapeCell(text: string): string {
    return text.replace(/\|/g, "\\|").replace(/</g, "&lt;").replace(/\s*\n\s*/g, " ");
}
