import type { UsageOutcome, UsageQuantities, UsageRecord } from "./usageCommand.js";

/** Names of the summed quantities, in the order of the report. */
export const quantityNames = [
    "requests",
    "promptTokens",
    "cachedTokens",
    "outputTokens",
    "endpointTime",
    "price",
    "cut",
] as const satisfies readonly (keyof UsageQuantities)[];

/** Exact sums over any number of records. */
export type UsageTotals = Readonly<Record<(typeof quantityNames)[number], bigint>>;

/** Sums of nothing. */
export const zeroTotals: UsageTotals = {
    requests: 0n,
    promptTokens: 0n,
    cachedTokens: 0n,
    outputTokens: 0n,
    endpointTime: 0n,
    price: 0n,
    cut: 0n,
};

/** Adds one record or another sum to a sum. */
export function addTotals(totals: UsageTotals, added: UsageQuantities | UsageTotals): UsageTotals {
    return {
        requests: totals.requests + BigInt(added.requests),
        promptTokens: totals.promptTokens + BigInt(added.promptTokens),
        cachedTokens: totals.cachedTokens + BigInt(added.cachedTokens),
        outputTokens: totals.outputTokens + BigInt(added.outputTokens),
        endpointTime: totals.endpointTime + BigInt(added.endpointTime),
        price: totals.price + BigInt(added.price),
        cut: totals.cut + BigInt(added.cut),
    };
}

/** Sums as plain data: decimal numbers in the order of {@link quantityNames}. */
export type EncodedTotals = readonly string[];

/** Writes sums as plain data. */
export function encodeTotals(totals: UsageTotals): EncodedTotals {
    return quantityNames.map(name => totals[name].toString());
}

/** Reads sums from plain data. */
export function decodeTotals(encoded: EncodedTotals): UsageTotals {
    const entries = quantityNames.map((name, index) => [name, BigInt(encoded[index] ?? "0")] as const);
    return { ...zeroTotals, ...Object.fromEntries(entries) };
}

const outcomes: readonly UsageOutcome[] = ["complete", "cut", "failed"];

/** Whether a record can be counted: integers that are safe and not negative, and parts that fit into their whole. */
export function isCountable(record: UsageRecord): boolean {
    return quantityNames.every(name => Number.isSafeInteger(record[name]) && record[name] >= 0)
        && Number.isSafeInteger(record.finishedAt)
        && outcomes.includes(record.outcome)
        && record.cachedTokens <= record.promptTokens
        && record.cut <= record.price;
}
