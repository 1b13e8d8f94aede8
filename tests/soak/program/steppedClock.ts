import { SystemClock } from "../../../src/util/clock.js";
import type { Milliseconds, UnixMilliseconds } from "../../../src/util/clock.js";

/** The system's clock with a time of day that jumps when told. */
export class SteppedClock extends SystemClock {
    private offset: Milliseconds = 0;

    /** Sets how far the time of day is ahead of the true one. */
    setOffset(offset: Milliseconds): void {
        this.offset = offset;
    }

    override unixNow(): UnixMilliseconds {
        return super.unixNow() + this.offset;
    }
}
