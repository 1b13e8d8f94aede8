import type { RandomSource } from "../../util/randomSource.js";
import type { EngineModel } from "./engineModel.js";
import { claimSlots } from "./slotClaim.js";

/** Urgent requests that an entry sends to an engine beyond its claim. */
const urgentRequests = 1;

/** An engine as one entry sees it: what it runs there itself, and its claim to what a lagging report shows as free. */
export class SimulatedEndpoint {
    /** Requests of this entry that it has. */
    running = 0;
    private gone = false;
    private allowed: number;
    private reportedLoad = 0;

    /**
     * @param engine The engine behind it.
     * @param entries Entries that use it.
     * @param random Rounds claims.
     */
    constructor(
        readonly engine: EngineModel,
        private readonly entries: number,
        private readonly random: RandomSource,
    ) {
        this.allowed = claimSlots(engine.speed.slots, entries, random);
    }

    /** Requests that it runs at once. */
    get capacity(): number {
        return this.gone ? 0 : this.engine.speed.slots;
    }

    /** Requests that this entry may start now. */
    get freeSlots(): number {
        return Math.max(0, Math.min(this.capacity, this.allowed) - this.running);
    }

    /** Requests that may wait inside it beyond the free slots. */
    get urgentSlots(): number {
        return this.gone ? 0 : Math.max(0, urgentRequests - Math.max(0, this.running - this.allowed));
    }

    /** Requests that it had by the newest report. */
    get load(): number {
        return this.reportedLoad;
    }

    /** Notes that it is gone; it gets nothing more. */
    noteLost(): void {
        this.gone = true;
    }

    /** Takes in a report of the engine's load, and what this entry ran there when the report was made. */
    takeReport(load: number, ownRunning: number): void {
        this.reportedLoad = load;
        this.allowed = ownRunning + claimSlots(this.capacity - load, this.entries, this.random);
    }
}
