/** Content type of the Prometheus text exposition format. */
export const expositionContentType = "text/plain; version=0.0.4; charset=utf-8";

/** Type of a metric family. */
export type MetricType = "counter" | "gauge" | "summary";

/** Labels of a sample. */
export type MetricLabels = Readonly<Record<string, string>>;

interface Family {
    readonly type: MetricType;
    readonly help: string;
    readonly samples: string[];
}

/** Collects samples and formats them in the Prometheus text exposition format, each family as one block. */
export class ExpositionWriter {
    private readonly families = new Map<string, Family>();

    /** Declares a family; must be called before its samples are added. */
    family(name: string, type: MetricType, help: string): void {
        this.families.set(name, { type, help, samples: [] });
    }

    /**
     * Adds a sample to a family; ignored if the family was not declared.
     *
     * @param suffix Suffix of the sample's name, such as `_count`.
     */
    sample(family: string, labels: MetricLabels, value: number, suffix = ""): void {
        const line = `${family}${suffix}${formatLabels(labels)} ${formatValue(value)}`;
        this.families.get(family)?.samples.push(line);
    }

    /** Returns the exposition: all families that have samples, in the order of their declaration. */
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

function formatLabels(labels: MetricLabels): string {
    const parts = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`);
    return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}

function formatValue(value: number): string {
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
