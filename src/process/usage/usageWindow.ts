import { createHash } from "node:crypto";
import type { UnixMilliseconds } from "../../util/clock.js";
import type { UsageOutcome, UsageRecord } from "./usageCommand.js";
import { addTotals, quantityNames, zeroTotals } from "./usageTotals.js";
import type { UsageTotals } from "./usageTotals.js";

/** What the requests of one line have in common. */
export interface UsageLineKey {
    readonly team: string;
    readonly requestClass: string;
    readonly outcome: UsageOutcome;
    /** Start of the sealed window in which the requests ended; absent unless the line is a correction. */
    readonly correctionOf?: UnixMilliseconds;
}

/** One line of a window: a team, a class, an outcome, and their sums. */
export interface UsageLine extends UsageLineKey {
    readonly totals: UsageTotals;
}

/** A span of time and the usage that is counted in it. */
export interface UsageWindow {
    readonly start: UnixMilliseconds;
    /** First millisecond after the window. */
    readonly end: UnixMilliseconds;
    readonly lines: readonly UsageLine[];
}

/** The fixed figures of a window, exactly as they are reported. */
export interface SealedBytes {
    readonly bytes: Uint8Array;
    /** SHA-256 of the bytes in lower-case hexadecimal. */
    readonly digest: string;
}

/** Text that is equal for equal keys alone, and by which lines are ordered. */
export function lineOrder(line: UsageLineKey): string {
    return JSON.stringify([line.team, line.requestClass, line.outcome, line.correctionOf ?? -1]);
}

/** The key of the line that counts a record. */
export function lineKeyOf(record: UsageRecord, correctionOf: UnixMilliseconds | undefined): UsageLineKey {
    const key = { team: record.team, requestClass: record.requestClass, outcome: record.outcome };
    return correctionOf === undefined ? key : { ...key, correctionOf };
}

/** Sums over all lines of a window. */
export function windowTotals(window: UsageWindow): UsageTotals {
    return window.lines.reduce((totals, line) => addTotals(totals, line.totals), zeroTotals);
}

/**
 * Writes a window in its canonical form: JSON without spaces, fixed order of fields, lines in order of their keys.
 *
 * Sums are written as JSON integers of any length.
 */
export function sealWindow(window: UsageWindow): SealedBytes {
    const ordered = [...window.lines].sort((left, right) => compareText(lineOrder(left), lineOrder(right)));
    const lines = ordered.map(line => `{${keyFields(line)},${totalsFields(line.totals)}}`).join(",");
    const text = `{"window":${window.start},"end":${window.end},"lines":[${lines}],`
        + `"totals":{${totalsFields(windowTotals(window))}}}`;
    const bytes = Buffer.from(text, "utf8");
    return { bytes, digest: createHash("sha256").update(bytes).digest("hex") };
}

function compareText(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}

function keyFields(line: UsageLineKey): string {
    const fields = `"team":${JSON.stringify(line.team)},"requestClass":${JSON.stringify(line.requestClass)},`
        + `"outcome":"${line.outcome}"`;
    return line.correctionOf === undefined ? fields : `${fields},"correctionOf":${line.correctionOf}`;
}

function totalsFields(totals: UsageTotals): string {
    return quantityNames.map(name => `"${name}":${totals[name]}`).join(",");
}
