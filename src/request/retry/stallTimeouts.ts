import type { Milliseconds } from "../../util/clock.js";
import type { RequestClass } from "../../version/manifest.js";

/** Least time after which an answer without progress counts as stalled, in milliseconds. */
const shortestBound: Milliseconds = 2_000;

/** Longest time after which an answer without progress counts as stalled, in milliseconds. */
const longestBound: Milliseconds = 30_000;

/** Times a first-token target after which an answer that has not begun counts as stalled. */
const firstTokenTimes = 4;

/** Times a target between tokens after which an answer counts as stalled. */
const betweenTokensTimes = 20;

/** Part of a whole target after which an answer counts as stalled where no finer target is set. */
const totalPart = 0.5;

/** How long an endpoint may take to the first token of an answer before it counts as stalled. */
export function firstTokenTimeout({ target }: RequestClass): Milliseconds {
    const { firstTokenMilliseconds, totalMilliseconds } = target;
    const wanted = firstTokenMilliseconds === undefined
        ? totalMilliseconds * totalPart
        : firstTokenMilliseconds * firstTokenTimes;
    return confine(wanted);
}

/** How long an endpoint may take between two tokens of an answer before it counts as stalled. */
export function betweenTokensTimeout({ target }: RequestClass): Milliseconds {
    const { betweenTokensMilliseconds, totalMilliseconds } = target;
    const wanted = betweenTokensMilliseconds === undefined
        ? totalMilliseconds * totalPart
        : betweenTokensMilliseconds * betweenTokensTimes;
    return confine(wanted);
}

/** How long a plain service may take for an answer before the call counts as stalled. */
export function serviceResponseTimeout({ target }: RequestClass): Milliseconds {
    return confine(target.totalMilliseconds * 2);
}

function confine(wanted: Milliseconds): Milliseconds {
    return Math.min(longestBound, Math.max(shortestBound, wanted));
}
