import { Err, Ok } from "../util/result.js";
import { callControl } from "./callControl.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandRegistrar } from "./globalFlags.js";
import { usageResponseSchema } from "./responseSchemas.js";
import type { UsageResponse } from "./responseSchemas.js";
import { formatIsoTime } from "./statusLines.js";
import { formatTable } from "./textTable.js";

type Totals = UsageResponse["open"][number]["totals"];

/** Amounts are given in millionths of the currency unit. */
const millionthsPerUnit = 1_000_000n;

/** Registers `gullhall usage`. */
export const registerUsageCommand: CommandRegistrar = (program, runner) =>
    program.command(
        "usage",
        "Show usage windows: open windows line by line, sealed windows as totals",
        builder =>
            builder
                .options(connectionOptions)
                .option("team", { type: "string", describe: "In open windows, show only the lines of this team" }),
        flags =>
            runner.executeWithClient(flags, async client => {
                const usage = await callControl(client, { method: "GET", path: "/v1/usage" }, usageResponseSchema);
                if (usage.err) {
                    return Err(usage.val);
                }
                const shownUsage = flags.team === undefined ? usage.val : filterByTeam(usage.val, flags.team);
                return Ok({ value: shownUsage, lines: usageLines(shownUsage) });
            }),
    );

function filterByTeam(usage: UsageResponse, team: string): UsageResponse {
    const open = usage.open.map(window => ({ ...window, lines: window.lines.filter(line => line.team === team) }));
    return { ...usage, open };
}

function usageLines({ currency, open, sealed }: UsageResponse): readonly string[] {
    const unit = currency ?? "?";
    const openRows = open.flatMap(window =>
        window.lines.map(line => {
            const correction = line.correctionOf === undefined
                ? ""
                : `correction of ${formatIsoTime(line.correctionOf)}`;
            const groupCells = [line.team === "" ? "(no key)" : line.team, line.requestClass, line.outcome];
            return [formatIsoTime(window.start), ...groupCells, ...totalCells(line.totals), correction];
        })
    );
    const sealedRows = sealed.map(window => [
        formatIsoTime(window.start),
        window.reportedAt === undefined ? "pending" : formatIsoTime(window.reportedAt),
        ...totalCells(window.totals),
    ]);
    const totalHeadings = ["requests", "prompt", "cached", "output", `price ${unit}`, `cut ${unit}`];
    return [
        "Open windows, whose totals may still increase:",
        ...formatTable(["window", "team", "class", "outcome", ...totalHeadings, ""], openRows),
        "",
        "Sealed windows, whose totals are final:",
        ...formatTable(["window", "reported", ...totalHeadings], sealedRows),
    ];
}

function totalCells(totals: Totals): readonly string[] {
    const { requests, promptTokens, cachedTokens, outputTokens, price, cut } = totals;
    return [requests, promptTokens, cachedTokens, outputTokens, formatAmount(price), formatAmount(cut)];
}

/** Formats an amount in millionths as currency units with six decimal places. */
function formatAmount(amount: string): string {
    const value = BigInt(amount);
    return `${value / millionthsPerUnit}.${(value % millionthsPerUnit).toString().padStart(6, "0")}`;
}
