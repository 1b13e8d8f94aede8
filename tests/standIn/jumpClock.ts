import { setImmediate as nextTurn } from "node:timers/promises";
import { Clock } from "../../src/util/clock.js";

/** A clock whose sleeps end at once and move the time on by their length; for one sleeper at a time. */
export class JumpClock extends Clock {
    private time = 0;

    override now(): number {
        return this.time;
    }

    override unixNow(): number {
        return this.time;
    }

    override async sleep(duration: number): Promise<void> {
        this.time += duration;
        await nextTurn();
    }
}
