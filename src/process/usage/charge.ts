import type { Price } from "../../version/manifest.js";
import type { UsageOutcome } from "./usageCommand.js";

/** What one request consumed. */
export interface Consumption {
    readonly outcome: UsageOutcome;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
}

/** Price and cut of one request in millionths of the currency unit; the price includes the cut. */
export interface Charge {
    readonly price: number;
    readonly cut: number;
}

const million = 1_000_000n;
const noCharge: Charge = { price: 0, cut: 0 };

/**
 * Prices one request.
 *
 * A complete request pays its fee and all tokens. A cut one, of which the caller received a part, pays the prompt and
 * the output tokens that reached the caller, but no fee. A failed one pays nothing. Each request is rounded down once,
 * to a whole millionth, after its parts have been added exactly; the cut is rounded down as well.
 *
 * @param cutPerMillion The cut in millionths of the price.
 */
export function chargeOf(consumption: Consumption, price: Price | undefined, cutPerMillion: number): Charge {
    if (price === undefined || consumption.outcome === "failed") {
        return noCharge;
    }
    const fee = consumption.outcome === "complete" ? price.perRequest : 0;
    const freshTokens = consumption.promptTokens - consumption.cachedTokens;
    const exact = BigInt(fee) * million
        + BigInt(freshTokens) * BigInt(price.perMillionPromptTokens)
        + BigInt(consumption.cachedTokens) * BigInt(price.perMillionCachedTokens)
        + BigInt(consumption.outputTokens) * BigInt(price.perMillionOutputTokens);
    const total = exact / million;
    return { price: Number(total), cut: Number(total * BigInt(cutPerMillion) / million) };
}
