/** Metrics of one run by name, as numbers, so that runs with different seeds can be aggregated. */
export type Metrics = Readonly<Record<string, number>>;

/** A simulation that can be repeated with the same seeds under several policies. */
export abstract class Experiment {
    abstract readonly name: string;
    abstract readonly description: string;
    /** Names of the supported policies. */
    abstract readonly policies: readonly string[];

    /** Runs the experiment once; throws a RangeError for an unknown policy. */
    abstract run(policy: string, seed: number): Metrics;
}
