import type { EngineOptions } from "./engineOptions.js";
import type { CacheChange } from "./prefixCache.js";

/** A numbered change of the prefix cache. */
export interface CacheEvent extends CacheChange {
    readonly number: number;
}

/** The newest cache events of an engine; the numbers of lost events are missing from the sequence. */
export class CacheEventLog {
    private events: CacheEvent[] = [];
    private lastNumber = 0;

    constructor(private readonly options: Pick<EngineOptions, "lostEventEvery" | "keptEvents">) {}

    /** Numbers a change and stores it, unless `lostEventEvery` makes it a lost event. */
    publish(change: CacheChange): void {
        this.lastNumber++;
        const { lostEventEvery, keptEvents } = this.options;
        if (lostEventEvery > 0 && this.lastNumber % lostEventEvery === 0) {
            return;
        }
        this.events.push({ number: this.lastNumber, ...change });
        if (this.events.length > 2 * keptEvents) {
            this.events = this.events.slice(-keptEvents);
        }
    }

    /** Consumes a number without an event, so that readers detect a gap after the cache was lost. */
    skipNumber(): void {
        this.lastNumber++;
    }

    /** The body of `GET /v1/cache-events`: the stored events whose number is greater than the given one. */
    after(number: number): { readonly events: readonly CacheEvent[]; readonly last: number; } {
        const kept = this.events.slice(-this.options.keptEvents);
        return { events: kept.filter(event => event.number > number), last: this.lastNumber };
    }
}
