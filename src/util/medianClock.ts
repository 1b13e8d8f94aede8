import type { Clock, Milliseconds, UnixMilliseconds } from "./clock.js";

/** Name under which a process notes its own wall clock. */
const ownSource = "";

/** Age above which what another process said of the time counts no more. */
const longestAge: Milliseconds = 5_000;

interface Reading {
    /** Wall-clock time less the local monotonic time. */
    readonly offset: Milliseconds;
    readonly notedAt: Milliseconds;
}

/**
 * Wall-clock time that holds while the clocks of some VMs are wrong: the median of what several processes say.
 */
export class MedianClock {
    private readonly readings = new Map<string, Reading>();

    /** Notes what a process said of the wall-clock time; the time of the message's way is neglected. */
    note(source: string, unixTime: UnixMilliseconds, now: Milliseconds): void {
        this.readings.set(source, { offset: unixTime - now, notedAt: now });
    }

    /** The wall-clock time, with this process's own clock as one reading among the others. */
    unixAt(clock: Clock): UnixMilliseconds {
        const now = clock.now();
        this.note(ownSource, clock.unixNow(), now);
        for (const [source, reading] of this.readings) {
            if (now - reading.notedAt > longestAge) {
                this.readings.delete(source);
            }
        }
        const offsets = [...this.readings.values()].map(reading => reading.offset).sort((a, b) => a - b);
        return now + (offsets[Math.floor(offsets.length / 2)] ?? 0);
    }
}
