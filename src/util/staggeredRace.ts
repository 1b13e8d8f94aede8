import type { Clock, Milliseconds } from "./clock.js";

/** Starts one attempt; resolves with undefined when it failed. The signal aborts when another attempt has won. */
export type RaceAttempt<T> = (signal: AbortSignal) => Promise<T | undefined>;

/**
 * Starts attempts one after the other, each when the one before has failed or has been silent for a while, and takes the
 * first success (hedged requests; J. Dean and L. A. Barroso, "The Tail at Scale", 2013; applied to independent paths
 * with a stagger in "FT-Y - Tail Slayer Path Reliability", ADR-X01).
 *
 * For operations that may run more than once without harm.
 *
 * @param stagger How long an attempt may be silent before the next one starts, in milliseconds.
 * @returns The first success, or undefined when every attempt has failed.
 */
export async function staggeredRace<T>(
    attempts: readonly RaceAttempt<T>[],
    stagger: Milliseconds,
    clock: Clock,
): Promise<T | undefined> {
    const decided = new AbortController();
    const running: Promise<T | undefined>[] = [];
    let winner: T | undefined;
    try {
        for (const attempt of attempts) {
            const started = attempt(decided.signal).then(result => {
                winner ??= result;
                return result;
            });
            running.push(started);
            const silence = new AbortController();
            await Promise.race([...running.map(succeeded), started, clock.sleep(stagger, silence.signal)]);
            silence.abort();
            if (winner !== undefined) {
                return winner;
            }
        }
        await Promise.race([...running.map(succeeded), Promise.all(running)]);
        return winner;
    }
    finally {
        decided.abort();
    }
}

/** Resolves when an attempt succeeds; stays open when it fails. */
async function succeeded(attempt: Promise<unknown>): Promise<void> {
    if (await attempt === undefined) {
        await new Promise<never>(() => undefined);
    }
}
