import type { Milliseconds } from "../../util/clock.js";

interface Batch {
    readonly arrivedAt: Milliseconds;
    work: number;
}

/** Waiting work of one tier, in tokens; work that waits until its deadline is missed. */
export class WorkQueue {
    private batches: Batch[] = [];
    private servedWork = 0;
    private missedWork = 0;

    constructor(private readonly deadline: Milliseconds) {}

    /** Work served before its deadline. */
    get served(): number {
        return this.servedWork;
    }

    /** Work that reached its deadline before it was served. */
    get missed(): number {
        return this.missedWork;
    }

    /** Adds work. */
    add(work: number, now: Milliseconds): void {
        this.batches.push({ arrivedAt: now, work });
    }

    /** Serves the oldest work up to a capacity; returns the amount of work served. */
    serve(capacity: number): number {
        let processed = 0;
        for (const batch of this.batches) {
            const processedPart = Math.min(batch.work, capacity - processed);
            batch.work -= processedPart;
            processed += processedPart;
        }
        this.servedWork += processed;
        return processed;
    }

    /** Returns lost work to the queue with the given arrival time; it no longer counts as served. */
    requeue(work: number, arrivedAt: Milliseconds): void {
        this.servedWork -= work;
        this.batches.unshift({ arrivedAt, work });
    }

    /** Drops work that has reached its deadline. */
    expire(now: Milliseconds): void {
        const expired = this.batches.filter(batch => now - batch.arrivedAt >= this.deadline);
        this.missedWork += expired.reduce((total, batch) => total + batch.work, 0);
        this.batches = this.batches.filter(batch => now - batch.arrivedAt < this.deadline && batch.work > 0);
    }
}
