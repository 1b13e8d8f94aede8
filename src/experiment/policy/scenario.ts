import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { EngineModel, EngineSpeed } from "./engineModel.js";
import type { Demand } from "./workload.js";

/** A fault of some engines at a point of time. */
export interface EngineFault {
    readonly at: Milliseconds;
    /** Whether it strikes an engine, by its index. */
    readonly strikes: (engine: number) => boolean;
    readonly strike: (engine: EngineModel) => void;
}

/** What happens in an experiment, whatever the policy. */
export abstract class Scenario {
    abstract readonly name: string;
    abstract readonly description: string;
    abstract readonly entries: number;
    abstract readonly engines: number;
    abstract readonly engineSpeed: EngineSpeed;
    abstract readonly duration: Milliseconds;
    /** Teams whose demand stays within a fair share of the capacity; undefined: computed from the demand. */
    readonly smallTeams: readonly string[] | undefined = undefined;

    /** Draws every arrival, in any order. */
    abstract demands(random: RandomSource): readonly Demand[];

    /** The entries that callers of a tier use, by index; all unless overridden. */
    entriesOf(tier: number): readonly number[] {
        return tier < 0 ? [] : [...Array(this.entries).keys()];
    }

    /** The faults of engines; none unless overridden. */
    readonly faults: readonly EngineFault[] = [];

    /** Output tokens a second of all engines with full batches. */
    get capacity(): number {
        const { slots, stepTime, stepTimePerStream } = this.engineSpeed;
        return (this.engines * slots * 1_000) / (stepTime + stepTimePerStream * slots);
    }
}
