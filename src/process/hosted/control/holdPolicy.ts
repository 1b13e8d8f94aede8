import type { CrashReport } from "../../../connection/hosted/quarantineMessages.js";
import type { Milliseconds, UnixMilliseconds } from "../../../util/clock.js";
import type { FeatureHold } from "../featureHold.js";
import type { CrashVerdict } from "./crashLedger.js";

/** Time from a failed trial to the next one, by the number of trials so far; after the last, an operator decides. */
const trialIntervals: readonly Milliseconds[] = [60_000, 600_000];

/** Longest time between two trials whose outcomes remain unknown. */
const longestTrialInterval: Milliseconds = 600_000;

/** Time after which another trial may begin if the outcome of the first one remains unknown. */
const trialTimeout: Milliseconds = 5_000;

/**
 * Time for which a trial is left to calls without other suspected features: a crash under one with them tells little
 * about the feature that is tried.
 */
const unambiguousCallTime: Milliseconds = 5_000;

/** Maximum number of crashed endpoints that are stored with a hold. */
const maximumStoredEndpoints = 16;

/**
 * The hold that a verdict leads to.
 *
 * @param evidenceAge Time since the first crash.
 */
export function createHold(
    { service, feature, teams, crashedEndpoints }: CrashVerdict,
    evidenceAge: Milliseconds,
    now: UnixMilliseconds,
): FeatureHold {
    return {
        service,
        feature,
        teams: teams.length > 1 ? undefined : teams,
        crashedEndpoints: crashedEndpoints.slice(-maximumStoredEndpoints),
        firstCrashAt: now - evidenceAge,
        heldAt: now,
        trials: 0,
        isTrialRunning: false,
        // The first trial may begin at once: it soon shows if the evidence was misleading.
        nextTrialAt: now,
    };
}

/**
 * The hold while a call is let through; undefined if none may be now.
 *
 * @param isAmbiguous Whether another feature of the call is suspected too.
 */
export function beginTrial(hold: FeatureHold, isAmbiguous: boolean, now: UnixMilliseconds): FeatureHold | undefined {
    if (now < (hold.nextTrialAt ?? Infinity) + (isAmbiguous ? unambiguousCallTime : 0)) {
        return undefined;
    }
    const trials = hold.trials + 1;
    const timeout = trials === 1 ? trialTimeout : trialIntervals[trials - 2] ?? longestTrialInterval;
    return { ...hold, trials, isTrialRunning: true, nextTrialAt: now + timeout };
}

/**
 * The hold after a crash under calls with its feature, which ends a running trial and is evidence against further teams;
 * undefined if the crash tells nothing new.
 */
export function recordCrash(
    hold: FeatureHold,
    { endpoint, service, calls, age }: CrashReport,
    now: UnixMilliseconds,
): FeatureHold | undefined {
    const affected = calls.filter(({ features }) => features.includes(hold.feature));
    const isKnown = hold.crashedEndpoints.includes(endpoint);
    const concernsOthers = affected.some(({ team = "" }) => hold.teams?.includes(team) === false);
    if (hold.service !== service || affected.length === 0 || (isKnown && !concernsOthers)) {
        return undefined;
    }
    const crashedEndpoints = isKnown ? hold.crashedEndpoints : [...hold.crashedEndpoints, endpoint];
    const extended = {
        ...hold,
        teams: concernsOthers ? undefined : hold.teams,
        crashedEndpoints: crashedEndpoints.slice(-maximumStoredEndpoints),
    };
    if (!hold.isTrialRunning || now - age <= hold.heldAt) {
        return extended;
    }
    const interval = trialIntervals[hold.trials - 1];
    return { ...extended, isTrialRunning: false, nextTrialAt: interval === undefined ? undefined : now + interval };
}

/** Whether a sound call that was sent some time ago shows that the feature of a hold does not cause crashes. */
export function isDisproved(hold: FeatureHold, soundAge: Milliseconds, now: UnixMilliseconds): boolean {
    return now - soundAge > hold.firstCrashAt;
}
