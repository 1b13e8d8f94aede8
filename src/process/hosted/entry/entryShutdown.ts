import type { Milliseconds } from "../../../util/clock.js";

/**
 * Time after the signal within which callers may not know yet that the entry shuts down, as they cache a resolution
 * response; it still accepts connections for so long.
 */
export const drainingAcceptTime: Milliseconds = 2_600;

/** Time that must be left to send a call within {@link drainingAcceptTime}, as a multiple of its longest known duration. */
const durationMargin = 2;

/** Time that must be left to repeat or continue a call that may have run, as a multiple of its longest known duration. */
const repetitionMargin = 1.1;

/** What is known about how long a call may take. */
export interface ExpectedCall {
    /** Whether an endpoint may have run the call, so that it can only be repeated or continued. */
    readonly mayHaveRun: boolean;
    /** Time until the call's own deadline. */
    readonly remainingTime: Milliseconds;
    /** Longest time that calls of the route have taken; undefined if that is not known. */
    readonly longestDuration: Milliseconds | undefined;
}

/** The shutdown of an entry: when the remaining calls are ended, and which calls are still sent before that. */
export class EntryShutdown {
    private period: { readonly beganAt: Milliseconds; readonly endsAt: Milliseconds; } | undefined;

    /** @param duration Time that the calls have from now on. */
    begin(duration: Milliseconds, now: Milliseconds): void {
        this.period ??= { beganAt: now, endsAt: now + duration };
    }

    get isUnderWay(): boolean {
        return this.period !== undefined;
    }

    /** Time until the remaining calls are ended; undefined while the entry does not shut down. */
    timeLeft(now: Milliseconds): Milliseconds | undefined {
        return this.period === undefined ? undefined : Math.max(0, this.period.endsAt - now);
    }

    /**
     * Whether a call may be sent to an endpoint: its response is complete before the remaining calls are ended.
     *
     * Only the call's own deadline makes that certain. Durations of earlier calls count only for callers that may not know
     * of the shutdown yet, and for calls that cannot be refused any more.
     */
    allows({ mayHaveRun, remainingTime, longestDuration }: ExpectedCall, now: Milliseconds): boolean {
        const timeLeft = this.timeLeft(now);
        if (this.period === undefined || timeLeft === undefined || remainingTime <= timeLeft) {
            return true;
        }
        if (longestDuration === undefined) {
            return false;
        }
        if (mayHaveRun) {
            return longestDuration * repetitionMargin <= timeLeft;
        }
        return now - this.period.beganAt <= drainingAcceptTime && longestDuration * durationMargin <= timeLeft;
    }
}
