import type { RandomSource } from "../../util/randomSource.js";
import type { EngineModel } from "./engineModel.js";
import { claimSlots } from "./slotClaim.js";

/** Maximum number of urgent requests that an entry starts on an endpoint beyond its claimed slots. */
const maximumUrgentRequests = 1;

/** An engine from the view of one entry: the requests it runs there and its claim to the slots reported as free. */
export class SimulatedEndpoint {
    /** Number of requests of this entry running there. */
    runningRequests = 0;
    private isLost = false;
    private claimedSlots: number;
    private reportedLoad = 0;

    /**
     * @param engine The engine of the endpoint.
     * @param entryCount Number of entries that use the endpoint.
     * @param random Rounds the claims.
     */
    constructor(
        readonly engine: EngineModel,
        private readonly entryCount: number,
        private readonly random: RandomSource,
    ) {
        this.claimedSlots = claimSlots(engine.speed.slots, entryCount, random);
    }

    /** Number of requests that the endpoint can run concurrently; 0 once it is lost. */
    get capacity(): number {
        return this.isLost ? 0 : this.engine.speed.slots;
    }

    /** Number of requests that this entry may start now. */
    get freeSlots(): number {
        return Math.max(0, Math.min(this.capacity, this.claimedSlots) - this.runningRequests);
    }

    /** Number of urgent requests that this entry may still queue in the engine beyond its claimed slots. */
    get urgentSlots(): number {
        return this.isLost
            ? 0
            : Math.max(0, maximumUrgentRequests - Math.max(0, this.runningRequests - this.claimedSlots));
    }

    /** Number of running and waiting requests according to the latest report. */
    get load(): number {
        return this.reportedLoad;
    }

    /** Marks the endpoint as lost; no more requests are sent to it. */
    markLost(): void {
        this.isLost = true;
    }

    /**
     * Applies a load report of the engine.
     *
     * @param load Number of running and waiting requests when the report was created.
     * @param ownRunning Number of requests of this entry running there when the report was created.
     */
    applyReport(load: number, ownRunning: number): void {
        this.reportedLoad = load;
        this.claimedSlots = ownRunning + claimSlots(this.capacity - load, this.entryCount, this.random);
    }
}
