import type { Milliseconds } from "../../../util/clock.js";

/** Time for which an entry that shuts down still accepts connections: callers may cache a resolution response that long. */
export const drainingAcceptTime: Milliseconds = 2_600;

/** Multiple of the longest known duration of a stream that must be left; its length depends on what is generated. */
const streamMargin = 2;

/** Multiple of the longest known duration of another call, or of the rest of a stream, that must be left. */
const callMargin = 1.1;

/** What is known about how long a call may take. */
export interface ExpectedCall {
    readonly isStreaming: boolean;
    /** Whether a part of the response has been sent, so that the call can only be continued. */
    readonly hasBegun: boolean;
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
     * Only the call's own deadline makes that certain. Durations of earlier calls count where they leave ample time, for
     * streams only while callers cannot know yet that the entry shuts down: later ones lose little by being refused.
     */
    allows({ isStreaming, hasBegun, remainingTime, longestDuration }: ExpectedCall, now: Milliseconds): boolean {
        const timeLeft = this.timeLeft(now);
        if (this.period === undefined || timeLeft === undefined || remainingTime <= timeLeft) {
            return true;
        }
        if (longestDuration === undefined) {
            return false;
        }
        if (!isStreaming || hasBegun) {
            return longestDuration * callMargin <= timeLeft;
        }
        return now - this.period.beganAt <= drainingAcceptTime && longestDuration * streamMargin <= timeLeft;
    }
}
