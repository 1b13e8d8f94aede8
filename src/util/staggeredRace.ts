import type { Clock, Milliseconds } from "./clock.js";

/** Starts one attempt; resolves with undefined if it fails. The signal is aborted when the race has ended. */
export type RaceAttempt<T> = (signal: AbortSignal) => Promise<T | undefined>;

/**
 * Starts attempts one by one, each as soon as the previous one has failed or has not settled within a delay, and
 * returns the first successful result (hedged requests; J. Dean and L. A. Barroso, "The Tail at Scale", 2013; applied
 * to independent paths with a stagger in "FT-Y - Tail Slayer Path Reliability", ADR-X01).
 *
 * Use it only for idempotent operations, since several attempts may be executed.
 *
 * @param staggerDelay How long to wait for an attempt before the next one starts, in milliseconds.
 * @returns The first successful result, or undefined if every attempt failed.
 */
export async function staggeredRace<T>(
    attempts: readonly RaceAttempt<T>[],
    staggerDelay: Milliseconds,
    clock: Clock,
): Promise<T | undefined> {
    const raceEnd = new AbortController();
    const startedAttempts: Promise<T | undefined>[] = [];
    let winner: T | undefined;
    try {
        for (const attempt of attempts) {
            const currentAttempt = attempt(raceEnd.signal).then(result => {
                winner ??= result;
                return result;
            });
            startedAttempts.push(currentAttempt);
            const delayAbort = new AbortController();
            await Promise.race([
                ...startedAttempts.map(whenSuccessful),
                currentAttempt,
                clock.sleep(staggerDelay, delayAbort.signal),
            ]);
            delayAbort.abort();
            if (winner !== undefined) {
                return winner;
            }
        }
        await Promise.race([...startedAttempts.map(whenSuccessful), Promise.all(startedAttempts)]);
        return winner;
    }
    finally {
        raceEnd.abort();
    }
}

/** Resolves when an attempt succeeds; never settles if it fails. */
async function whenSuccessful(attempt: Promise<unknown>): Promise<void> {
    if (await attempt === undefined) {
        await new Promise<never>(() => undefined);
    }
}
