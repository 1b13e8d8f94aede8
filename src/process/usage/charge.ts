import type { Price } from "../../version/manifest.js";
import type { UsageOutcome } from "./usageCommand.js";

/** Tokens consumed by one request and how it ended. */
export interface Consumption {
    readonly outcome: UsageOutcome;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
}

/** Price of one request and the router's commission on it, in millionths of the currency unit. */
export interface Charge {
    /** What the team pays, including the commission. */
    readonly price: number;
    /** The router's commission. */
    readonly cut: number;
}

const million = 1_000_000n;
const noCharge: Charge = { price: 0, cut: 0 };

/**
 * Calculates the charge of one request.
 *
 * A complete request is charged its fee and all tokens. A request with outcome `cut`, whose response reached the caller
 * only in part, is charged its prompt and the output tokens that reached the caller, but no fee. A failed one is free.
 * Amounts are added exactly and rounded down once per request to a whole millionth; the commission is rounded down too.
 *
 * @param price Price list of the request class; undefined if requests of the class are free.
 * @param cutPerMillion The commission in millionths of the price.
 */
export function calculateCharge(consumption: Consumption, price: Price | undefined, cutPerMillion: number): Charge {
    if (price === undefined || consumption.outcome === "failed") {
        return noCharge;
    }
    const fee = consumption.outcome === "complete" ? price.perRequest : 0;
    const freshTokens = consumption.promptTokens - consumption.cachedTokens;
    const scaledTotal = BigInt(fee) * million
        + BigInt(freshTokens) * BigInt(price.perMillionPromptTokens)
        + BigInt(consumption.cachedTokens) * BigInt(price.perMillionCachedTokens)
        + BigInt(consumption.outputTokens) * BigInt(price.perMillionOutputTokens);
    const total = scaledTotal / million;
    return { price: Number(total), cut: Number(total * BigInt(cutPerMillion) / million) };
}
