import type { EventLog } from "../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../util/clock.js";

/** Tells operators when a disk is full, and when it has room again. */
export class DiskSpace {
    private since: Milliseconds | undefined;

    constructor(private readonly clock: Clock, private readonly events: EventLog) {}

    /** Whether the newest operation that needed room was refused. */
    get isFull(): boolean {
        return this.since !== undefined;
    }

    /** Records that an operation failed because the disk is full. */
    recordFull(operation: string, name: string): void {
        if (this.since === undefined) {
            this.since = this.clock.now();
            this.events.write("diskFull", { operation, name });
        }
    }

    /** Records that an operation that needs room has succeeded. */
    recordWritten(): void {
        if (this.since !== undefined) {
            this.events.write("diskWritable", { duration: Math.round(this.clock.now() - this.since) });
            this.since = undefined;
        }
    }
}
