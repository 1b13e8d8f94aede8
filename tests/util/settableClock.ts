import { Clock } from "../../src/util/clock.js";

/** A clock whose monotonic and wall-clock times can be set independently; its sleeps end at once. */
export class SettableClock extends Clock {
    constructor(public monotonic = 0, public unix = 1_000_000) {
        super();
    }

    /** Advances both times by the same duration. */
    advance(milliseconds: number): void {
        this.monotonic += milliseconds;
        this.unix += milliseconds;
    }

    override now(): number {
        return this.monotonic;
    }

    override unixNow(): number {
        return this.unix;
    }

    override async sleep(): Promise<void> {
        await Promise.resolve();
    }
}
