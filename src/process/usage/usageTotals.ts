import type { UsageOutcome, UsageQuantities, UsageRecord } from "./usageCommand.js";

/** Names of the summed quantities, in the order of reports and of stored totals. */
export const quantityNames = [
    "requests",
    "promptTokens",
    "cachedTokens",
    "outputTokens",
    "endpointTime",
    "price",
    "cut",
] as const satisfies readonly (keyof UsageQuantities)[];

/** Exact sums over any number of records; may exceed the safe integers. */
export type UsageTotals = Readonly<Record<(typeof quantityNames)[number], bigint>>;

/** The sum of zero records. */
export const zeroTotals: UsageTotals = {
    requests: 0n,
    promptTokens: 0n,
    cachedTokens: 0n,
    outputTokens: 0n,
    endpointTime: 0n,
    price: 0n,
    cut: 0n,
};

/** Returns the sum of totals and one record or other totals. */
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

/** Totals as plain data: decimal integers in the order of {@link quantityNames}. */
export type EncodedTotals = readonly string[];

/** Encodes totals as plain data. */
export function encodeTotals(totals: UsageTotals): EncodedTotals {
    return quantityNames.map(name => totals[name].toString());
}

/** Decodes totals from plain data; missing elements are 0. */
export function decodeTotals(encoded: EncodedTotals): UsageTotals {
    const entries = quantityNames.map((name, index) => [name, BigInt(encoded[index] ?? "0")] as const);
    return { ...zeroTotals, ...Object.fromEntries(entries) };
}

const outcomes: readonly UsageOutcome[] = ["complete", "cut", "failed"];

/**
 * Whether all quantities are non-negative safe integers, there are no more cached than prompt tokens, and the
 * commission does not exceed the price.
 */
export function isValidUsageRecord(record: UsageRecord): boolean {
    return quantityNames.every(name => Number.isSafeInteger(record[name]) && record[name] >= 0)
        && Number.isSafeInteger(record.finishedAt)
        && outcomes.includes(record.outcome)
        && record.cachedTokens <= record.promptTokens
        && record.cut <= record.price;
}
