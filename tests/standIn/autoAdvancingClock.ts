import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import { Clock } from "../../src/util/clock.js";

/** A clock whose sleeps end immediately and advance the time by their duration; supports one sleeper at a time. */
export class AutoAdvancingClock extends Clock {
    private time = 0;

    override now(): number {
        return this.time;
    }

    override unixNow(): number {
        return this.time;
    }

    override async sleep(duration: number): Promise<void> {
        this.time += duration;
        await nextEventLoopTurn();
    }
}
