import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { LogicalRequest } from "./arrivalProcess.js";
import type { EngineModel, EngineSpeed } from "./engineModel.js";

/** A fault of some engines at a point in time. */
export interface EngineFault {
    readonly at: Milliseconds;
    /** Returns whether the fault affects the engine with an index. */
    readonly affects: (engineIndex: number) => boolean;
    /** Applies the fault to an affected engine. */
    readonly apply: (engine: EngineModel) => void;
}

/** Pool, arrivals and faults of an experiment, independent of the policy. */
export abstract class Scenario {
    abstract readonly name: string;
    abstract readonly description: string;
    abstract readonly entryCount: number;
    abstract readonly engineCount: number;
    abstract readonly engineSpeed: EngineSpeed;
    abstract readonly duration: Milliseconds;
    /** Teams that need no more than a fair share of the capacity; if undefined, determined from the requests. */
    readonly smallTeams: readonly string[] | undefined = undefined;

    /** Draws all logical requests of a run, in any order. */
    abstract drawRequests(random: RandomSource): readonly LogicalRequest[];

    /** Returns the indexes of the entries that callers of a tier use; all by default. */
    entryIndexesFor(tier: number): readonly number[] {
        return tier < 0 ? [] : [...Array(this.entryCount).keys()];
    }

    /** Engine faults; none by default. */
    readonly faults: readonly EngineFault[] = [];

    /** Output tokens per second of all engines with full batches. */
    get capacityTokensPerSecond(): number {
        const { slots, stepTime, stepTimePerSequence } = this.engineSpeed;
        return (this.engineCount * slots * 1_000) / (stepTime + stepTimePerSequence * slots);
    }
}
