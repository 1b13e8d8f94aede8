/** Named figures of one run; each is a number, so that runs with different seeds can be summed up. */
export type Metrics = Readonly<Record<string, number>>;

/** A measurement that can be repeated with the same seeds under several policies. */
export abstract class Experiment {
    abstract readonly name: string;
    abstract readonly description: string;
    /** Names of the policies that it can be run with. */
    abstract readonly policies: readonly string[];

    /** Runs once. */
    abstract run(policy: string, seed: number): Metrics;
}
