/** Content type of the text exposition format. */
export const expositionContentType = "text/plain; version=0.0.4; charset=utf-8";

/** Kind of a metric family. */
export type MetricType = "counter" | "gauge" | "summary";

/** Labels of a sample. */
export type MetricLabels = Readonly<Record<string, string>>;

interface Family {
    readonly type: MetricType;
    readonly help: string;
    readonly samples: string[];
}

/** Gathers samples and writes them in the text exposition format, each family in one block. */
export class ExpositionWriter {
    private readonly families = new Map<string, Family>();

    /** Declares a family; its samples may be added in any order afterwards. */
    family(name: string, type: MetricType, help: string): void {
        this.families.set(name, { type, help, samples: [] });
    }

    /**
     * Adds a sample to a declared family.
     *
     * @param suffix Ending of the sample's name, such as `_count`.
     */
    sample(family: string, labels: MetricLabels, value: number, suffix = ""): void {
        const line = `${family}${suffix}${labelText(labels)} ${valueText(value)}`;
        this.families.get(family)?.samples.push(line);
    }

    /** The page: families with samples, in the order of their declaration. */
    toString(): string {
        const lines: string[] = [];
        for (const [name, { type, help, samples }] of this.families) {
            if (samples.length > 0) {
                lines.push(`# HELP ${name} ${escapeHelp(help)}`, `# TYPE ${name} ${type}`, ...samples);
            }
        }
        return `${lines.join("\n")}\n`;
    }
}

function labelText(labels: MetricLabels): string {
    const parts = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`);
    return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}

function valueText(value: number): string {
    if (Number.isFinite(value)) {
        return String(value);
    }
    return Number.isNaN(value) ? "NaN" : value > 0 ? "+Inf" : "-Inf";
}

function escapeHelp(text: string): string {
    return text.replace(/\\/g, "\\\\").replace(/\n/g, "\\n");
}

function escapeLabel(text: string): string {
    return escapeHelp(text).replace(/"/g, "\\\"");
}
