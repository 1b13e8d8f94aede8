import { SystemClock } from "../../../src/util/clock.js";
import type { Milliseconds, UnixMilliseconds } from "../../../src/util/clock.js";

/** System clock whose wall-clock time can be shifted by an offset; its monotonic time is not affected. */
export class OffsetClock extends SystemClock {
    private offset: Milliseconds = 0;

    /** Sets how far the wall-clock time is ahead of the system's; negative if it is behind. */
    setOffset(offset: Milliseconds): void {
        this.offset = offset;
    }

    override unixNow(): UnixMilliseconds {
        return super.unixNow() + this.offset;
    }
}
