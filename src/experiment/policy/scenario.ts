import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import type { EngineModel, EngineSpeed } from "./engineModel.js";
import type { EventQueue } from "./eventQueue.js";
import type { Demand } from "./workload.js";

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

    /** Plans faults of engines. */
    abstract planFaults(events: EventQueue, engines: readonly EngineModel[]): void;

    /** Output tokens a second of all engines with full batches. */
    get capacity(): number {
        const { slots, stepTime, stepTimePerStream } = this.engineSpeed;
        return (this.engines * slots * 1_000) / (stepTime + stepTimePerStream * slots);
    }
}
