import type { ManifestEndpoint } from "../../version/manifest.js";

/** One endpoint as this entry sees it. */
export class EndpointState {
    /** Requests of this entry that it runs now. */
    running = 0;
    /** Whether it has said, or the platform has said, that it leaves. */
    leaving = false;

    /**
     * @param description Its name, address and failure domain.
     * @param pool Name of its pool.
     * @param capacity Requests that this entry may run at it at once.
     */
    constructor(readonly description: ManifestEndpoint, readonly pool: string, readonly capacity: number) {}

    get name(): string {
        return this.description.name;
    }

    /** Requests that could be started now. */
    get freeSlots(): number {
        return this.leaving ? 0 : Math.max(0, this.capacity - this.running);
    }
}
