import type { Clock, Milliseconds } from "../../util/clock.js";
import type { ExpositionWriter } from "./expositionWriter.js";
import { TimeHistogram } from "./timeHistogram.js";

/** Interval at which the delay is measured. */
const tickInterval: Milliseconds = 250;

/**
 * Measures by how much the event loop is late: events that were received meanwhile, such as the bytes of a request or
 * the end of a connection, have waited for up to this time.
 */
export class EventLoopDelayMonitor implements Disposable {
    private readonly delays = new TimeHistogram();
    private readonly timer: NodeJS.Timeout;
    private nextTickAt: Milliseconds;

    constructor(clock: Clock) {
        this.nextTickAt = clock.now() + tickInterval;
        this.timer = setInterval(() => {
            this.recordTick(clock.now());
        }, tickInterval).unref();
    }

    /** Records that the measuring timer has fired. */
    recordTick(now: Milliseconds): void {
        this.delays.record(now - this.nextTickAt);
        this.nextTickAt = now + tickInterval;
    }

    /** Writes the delays since the start, in seconds. */
    write(writer: ExpositionWriter): void {
        writer.family("gullhall_event_loop_delay_seconds", "summary", "Time by which the event loop was late.");
        this.delays.write(writer, "gullhall_event_loop_delay_seconds", {});
        writer.family("gullhall_event_loop_delay_maximum_seconds", "gauge", "Longest delay of the event loop.");
        writer.sample("gullhall_event_loop_delay_maximum_seconds", {}, this.delays.maximum / 1000);
    }

    [Symbol.dispose](): void {
        clearInterval(this.timer);
    }
}
