import type { Milliseconds } from "../../util/clock.js";
import type { RequestClass } from "../../version/manifest.js";

/** Minimum time without progress after which a response counts as stalled, in milliseconds. */
const minimumTimeout: Milliseconds = 2_000;

/** Maximum time without progress after which a response counts as stalled, in milliseconds. */
const maximumTimeout: Milliseconds = 30_000;

/** Multiple of the first-token target after which a response that has not started counts as stalled. */
const firstTokenTargetMultiple = 4;

/** Multiple of the between-tokens target after which a response counts as stalled. */
const betweenTokensTargetMultiple = 20;

/** Fraction of the total target after which a response counts as stalled if no more specific target is set. */
const totalTargetFraction = 0.5;

/** Returns how long an endpoint may take for the first token of a response, in milliseconds. */
export function firstTokenTimeout({ target }: RequestClass): Milliseconds {
    const { firstTokenMilliseconds, totalMilliseconds } = target;
    const timeout = firstTokenMilliseconds === undefined
        ? totalMilliseconds * totalTargetFraction
        : firstTokenMilliseconds * firstTokenTargetMultiple;
    return clampTimeout(timeout);
}

/** Returns how long an endpoint may take between two tokens of a response, in milliseconds. */
export function betweenTokensTimeout({ target }: RequestClass): Milliseconds {
    const { betweenTokensMilliseconds, totalMilliseconds } = target;
    const timeout = betweenTokensMilliseconds === undefined
        ? totalMilliseconds * totalTargetFraction
        : betweenTokensMilliseconds * betweenTokensTargetMultiple;
    return clampTimeout(timeout);
}

/** Returns how long a plain service, which is not a model, may take for a response, in milliseconds. */
export function serviceResponseTimeout({ target }: RequestClass): Milliseconds {
    return clampTimeout(target.totalMilliseconds * 2);
}

function clampTimeout(timeout: Milliseconds): Milliseconds {
    return Math.min(maximumTimeout, Math.max(minimumTimeout, timeout));
}
