import { createHash } from "node:crypto";
import type { UnixMilliseconds } from "../../util/clock.js";
import type { UsageOutcome, UsageRecord } from "./usageCommand.js";
import { addTotals, quantityNames, zeroTotals } from "./usageTotals.js";
import type { UsageTotals } from "./usageTotals.js";

/** Key by which the requests of a window are grouped into lines. */
export interface UsageLineKey {
    readonly team: string;
    readonly requestClass: string;
    readonly outcome: UsageOutcome;
    /** Start of the sealed window in which the requests ended; present only if the line is a correction. */
    readonly correctionOf?: UnixMilliseconds;
}

/** One line of a window: the totals of one team, class and outcome. */
export interface UsageLine extends UsageLineKey {
    readonly totals: UsageTotals;
}

/** A period of time and the usage counted in it. */
export interface UsageWindow {
    readonly start: UnixMilliseconds;
    /** First millisecond after the window (exclusive end). */
    readonly end: UnixMilliseconds;
    readonly lines: readonly UsageLine[];
}

/** A window encoded as it is reported. */
export interface EncodedWindow {
    readonly bytes: Uint8Array;
    /** SHA-256 digest of the bytes in lower-case hexadecimal. */
    readonly digest: string;
}

/** Returns a string that identifies a line within its window and determines the order of lines. */
export function lineSortKey(line: UsageLineKey): string {
    return JSON.stringify([line.team, line.requestClass, line.outcome, line.correctionOf ?? -1]);
}

/** Returns the key of the line in which a record is counted. */
export function createLineKey(record: UsageRecord, correctionOf: UnixMilliseconds | undefined): UsageLineKey {
    const key = { team: record.team, requestClass: record.requestClass, outcome: record.outcome };
    return correctionOf === undefined ? key : { ...key, correctionOf };
}

/** Returns the totals over all lines of a window. */
export function windowTotals(window: UsageWindow): UsageTotals {
    return window.lines.reduce((totals, line) => addTotals(totals, line.totals), zeroTotals);
}

/**
 * Encodes a window canonically: JSON without whitespace, fields in a fixed order, lines sorted by {@link lineSortKey}.
 *
 * Totals are written as JSON integers of arbitrary size.
 */
export function encodeWindow(window: UsageWindow): EncodedWindow {
    const ordered = [...window.lines].sort((left, right) => compareStrings(lineSortKey(left), lineSortKey(right)));
    const lines = ordered.map(line => `{${formatKeyFields(line)},${formatTotalsFields(line.totals)}}`).join(",");
    const text = `{"window":${window.start},"end":${window.end},"lines":[${lines}],`
        + `"totals":{${formatTotalsFields(windowTotals(window))}}}`;
    const bytes = Buffer.from(text, "utf8");
    return { bytes, digest: createHash("sha256").update(bytes).digest("hex") };
}

function compareStrings(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}

function formatKeyFields(line: UsageLineKey): string {
    const fields = `"team":${JSON.stringify(line.team)},"requestClass":${JSON.stringify(line.requestClass)},`
        + `"outcome":"${line.outcome}"`;
    return line.correctionOf === undefined ? fields : `${fields},"correctionOf":${line.correctionOf}`;
}

function formatTotalsFields(totals: UsageTotals): string {
    return quantityNames.map(name => `"${name}":${totals[name]}`).join(",");
}
