import { Err, Ok } from "../util/result.js";
import { usageSchema } from "./answerSchemas.js";
import type { ShownUsage } from "./answerSchemas.js";
import { askControl } from "./askControl.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandAdder } from "./globalFlags.js";
import { isoTime } from "./statusLines.js";
import { textTable } from "./textTable.js";

type Totals = ShownUsage["open"][number]["totals"];

/** Millionths in one currency unit. */
const millionths = 1_000_000n;

/** Adds `gullhall usage`. */
export const addUsageCommand: CommandAdder = (program, run) =>
    program.command(
        "usage",
        "Show usage windows: open ones line by line, sealed ones with their sums",
        builder =>
            builder
                .options(connectionOptions)
                .option("team", { type: "string", describe: "Show only this team's lines of open windows" }),
        flags =>
            run.executeConnected(flags, async client => {
                const usage = await askControl(client, { method: "GET", path: "/v1/usage" }, usageSchema);
                if (usage.err) {
                    return Err(usage.val);
                }
                const shown = flags.team === undefined ? usage.val : ofTeam(usage.val, flags.team);
                return Ok({ value: shown, lines: usageLines(shown) });
            }),
    );

function ofTeam(usage: ShownUsage, team: string): ShownUsage {
    const open = usage.open.map(window => ({ ...window, lines: window.lines.filter(line => line.team === team) }));
    return { ...usage, open };
}

function usageLines({ currency, open, sealed }: ShownUsage): readonly string[] {
    const unit = currency ?? "?";
    const openRows = open.flatMap(window =>
        window.lines.map(line => {
            const correction = line.correctionOf === undefined ? "" : `correction of ${isoTime(line.correctionOf)}`;
            const key = [line.team === "" ? "(open route)" : line.team, line.requestClass, line.outcome];
            return [isoTime(window.start), ...key, ...totalCells(line.totals), correction];
        })
    );
    const sealedRows = sealed.map(window => [
        isoTime(window.start),
        window.reportedAt === undefined ? "not yet" : isoTime(window.reportedAt),
        ...totalCells(window.totals),
    ]);
    const sums = ["requests", "prompt", "cached", "output", `price ${unit}`, `cut ${unit}`];
    return [
        "Open windows, whose figures may still grow:",
        ...textTable(["window", "team", "class", "outcome", ...sums, ""], openRows),
        "",
        "Sealed windows, whose figures are fixed:",
        ...textTable(["window", "reported", ...sums], sealedRows),
    ];
}

function totalCells(totals: Totals): readonly string[] {
    const { requests, promptTokens, cachedTokens, outputTokens, price, cut } = totals;
    return [requests, promptTokens, cachedTokens, outputTokens, moneyText(price), moneyText(cut)];
}

/** Writes an amount in millionths as currency units with six places. */
function moneyText(amount: string): string {
    const value = BigInt(amount);
    return `${value / millionths}.${(value % millionths).toString().padStart(6, "0")}`;
}
