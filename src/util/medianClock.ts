import type { Clock, Milliseconds, UnixMilliseconds } from "./clock.js";

/** Source name of the reading of this process's own wall clock. */
const localSource = "";

/** Maximum age of a reading; older readings are discarded. */
const maximumReadingAge: Milliseconds = 5_000;

interface ClockReading {
    /** Wall-clock time minus the local monotonic time. */
    readonly offset: Milliseconds;
    readonly receivedAt: Milliseconds;
}

/** Wall-clock time that tolerates wrong clocks on some VMs: the median of the readings of several processes. */
export class MedianClock {
    private readonly readings = new Map<string, ClockReading>();

    /** Adds the wall-clock time that a process reported; the network delay is ignored. */
    addReading(source: string, unixTime: UnixMilliseconds, now: Milliseconds): void {
        this.readings.set(source, { offset: unixTime - now, receivedAt: now });
    }

    /** The median wall-clock time of all recent readings, including this process's own clock. */
    medianUnixTime(clock: Clock): UnixMilliseconds {
        const now = clock.now();
        this.addReading(localSource, clock.unixNow(), now);
        for (const [source, reading] of this.readings) {
            if (now - reading.receivedAt > maximumReadingAge) {
                this.readings.delete(source);
            }
        }
        const offsets = [...this.readings.values()].map(reading => reading.offset).sort((a, b) => a - b);
        return now + (offsets[Math.floor(offsets.length / 2)] ?? 0);
    }
}
