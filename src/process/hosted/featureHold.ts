import type { UnixMilliseconds } from "../../util/clock.js";

/** Calls of a service that are held back because endpoints crash under calls with a feature. */
export interface FeatureHold {
    readonly service: string;
    readonly feature: string;
    /** Teams whose calls are held back, an empty name for calls without a key; undefined for all. */
    readonly teams: readonly string[] | undefined;
    /** Endpoints that crashed while calls with the feature ran there, the newest last. */
    readonly crashedEndpoints: readonly string[];
    readonly firstCrashAt: UnixMilliseconds;
    readonly heldAt: UnixMilliseconds;
    /** Number of calls that were let through to learn whether endpoints still crash. */
    readonly trials: number;
    /** Whether the outcome of the newest trial is not known yet. */
    readonly isTrialRunning: boolean;
    /** When another call may be let through; undefined if only an operator can release the calls. */
    readonly nextTrialAt: UnixMilliseconds | undefined;
}

/** Maximum number of features whose calls are held back; those with the least evidence give way. */
export const maximumHolds = 64;

/** Orders holds by descending evidence. */
export function compareEvidence(
    a: Pick<FeatureHold, "crashedEndpoints" | "trials">,
    b: Pick<FeatureHold, "crashedEndpoints" | "trials">,
): number {
    return b.trials - a.trials || b.crashedEndpoints.length - a.crashedEndpoints.length;
}

/** Identifies a feature of calls to a service. */
export function featureKey({ service, feature }: { readonly service: string; readonly feature: string; }): string {
    return `${service}\n${feature}`;
}
