import type { EngineOptions } from "./engineOptions.js";
import type { CacheChange } from "./prefixCache.js";

/** A published change of the prefix cache. */
export interface CacheEvent extends CacheChange {
    readonly number: number;
}

/** The newest cache events of an engine; numbers of lost events are missing. */
export class CacheEventLog {
    private events: CacheEvent[] = [];
    private last = 0;

    constructor(private readonly options: Pick<EngineOptions, "lostEventEvery" | "keptEvents">) {}

    /** Numbers a change and keeps it, unless it is one that is lost. */
    publish(change: CacheChange): void {
        this.last++;
        const { lostEventEvery, keptEvents } = this.options;
        if (lostEventEvery > 0 && this.last % lostEventEvery === 0) {
            return;
        }
        this.events.push({ number: this.last, ...change });
        if (this.events.length > 2 * keptEvents) {
            this.events = this.events.slice(-keptEvents);
        }
    }

    /** Numbers an event that nobody ever sees, as when the state was lost. */
    skip(): void {
        this.last++;
    }

    /** The body of `GET /v1/cache-events`. */
    after(number: number): { readonly events: readonly CacheEvent[]; readonly last: number; } {
        const kept = this.events.slice(-this.options.keptEvents);
        return { events: kept.filter(event => event.number > number), last: this.last };
    }
}
