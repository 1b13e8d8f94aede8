import type { Milliseconds } from "../../../util/clock.js";

/** The shutdown of an entry: when it began, and when the remaining calls are ended. */
export class EntryShutdown {
    private callsEndAt: Milliseconds | undefined;

    /** @param duration Time that the calls have from now on. */
    begin(duration: Milliseconds, now: Milliseconds): void {
        this.callsEndAt ??= now + duration;
    }

    get isUnderWay(): boolean {
        return this.callsEndAt !== undefined;
    }

    /** Time until the remaining calls are ended; undefined while the entry does not shut down. */
    timeLeft(now: Milliseconds): Milliseconds | undefined {
        return this.callsEndAt === undefined ? undefined : Math.max(0, this.callsEndAt - now);
    }
}
