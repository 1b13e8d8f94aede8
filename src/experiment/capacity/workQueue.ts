import type { Milliseconds } from "../../util/clock.js";

interface Batch {
    readonly arrivedAt: Milliseconds;
    work: number;
}

/** Work of one tier that waits, in tokens; what waits past its deadline is missed. */
export class WorkQueue {
    private batches: Batch[] = [];
    private servedWork = 0;
    private missedWork = 0;

    constructor(private readonly deadline: Milliseconds) {}

    /** Work done in time. */
    get served(): number {
        return this.servedWork;
    }

    /** Work that was not done in time. */
    get missed(): number {
        return this.missedWork;
    }

    /** Takes work in. */
    offer(work: number, now: Milliseconds): void {
        this.batches.push({ arrivedAt: now, work });
    }

    /** Does as much of the oldest work as there is room for; returns the work done. */
    serve(room: number): number {
        let done = 0;
        for (const batch of this.batches) {
            const part = Math.min(batch.work, room - done);
            batch.work -= part;
            done += part;
        }
        this.servedWork += done;
        return done;
    }

    /** Puts work that was lost under way back, as if it had arrived at a time. */
    takeBack(work: number, arrivedAt: Milliseconds): void {
        this.servedWork -= work;
        this.batches.unshift({ arrivedAt, work });
    }

    /** Gives up what is past its deadline. */
    expire(now: Milliseconds): void {
        const late = this.batches.filter(batch => now - batch.arrivedAt >= this.deadline);
        this.missedWork += late.reduce((total, batch) => total + batch.work, 0);
        this.batches = this.batches.filter(batch => now - batch.arrivedAt < this.deadline && batch.work > 0);
    }
}
