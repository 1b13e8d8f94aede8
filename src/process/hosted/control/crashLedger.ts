import type { CrashReport, SoundReport, Suspect } from "../../../connection/hosted/quarantineMessages.js";
import { isCallFeature } from "../../../request/hosted/callFeatures.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { FeatureHold } from "../featureHold.js";
import { featureKey } from "../featureHold.js";

/** Time in which several crashes count as one incident: they may have a common cause other than calls. */
const incidentTime: Milliseconds = 250;

/** Time in which reports of the same endpoint's crash arrive; an endpoint may keep its id when it starts again. */
const sameCrashTime: Milliseconds = 1_000;

/** Minimum number of incidents from which calls with a shared feature are held back. */
const decisiveIncidents = 3;

/** Minimum number of crashes from which identical calls are held back: few other calls run beside each of them. */
const decisiveCrashesOfCall = 2;

/** Highest rate of crashes, as the probability that a call is hit by one, at which causes can be told from bystanders. */
const maximumHitProbability = 0.2;

/**
 * Factor by which the rate of crashes is taken to be higher than observed: nobody reports an endpoint without calls, and
 * one that is down takes none.
 */
const crashRateAllowance = 2;

/** Highest acceptable probability that a feature was in all its crashes by chance. */
const maximumChance = 3e-4;

/** Time for which a call may be hit by a crash that it does not cause: until it counts as sound. */
const exposureTime: Milliseconds = 1_000;

/** The same time where identical calls are concerned, which are mostly short. */
const exposureTimeOfCall: Milliseconds = 250;

/** Minimum time over which the rate of other crashes is taken. */
const minimumRateTime: Milliseconds = 1_000;

/** Maximum number of crashes of a service that are remembered. */
const maximumServiceCrashes = 512;

/** Minimum time from the first crash to the decision, in which calls with the same feature may turn out sound. */
const minimumEvidenceTime: Milliseconds = 1_500;

/** Minimum time from when entries are told of a suspect to the decision, in which they report sound calls. */
const minimumReplyTime: Milliseconds = 700;

/** Age from which a crash is no evidence any more. */
const maximumEvidenceAge: Milliseconds = 600_000;

/** Maximum number of features under observation. */
const maximumCandidates = 2_048;

/** Maximum number of crashes that are remembered of one feature. */
const maximumCrashes = 16;

/** Maximum number of suspects that entries are told, of identical calls and of other features each. */
const maximumSuspects = 16;

interface EndpointCrash {
    readonly endpoint: string;
    readonly at: Milliseconds;
}

/** A feature of calls that ran at endpoints when these crashed. */
interface Candidate {
    readonly service: string;
    readonly feature: string;
    /** Index in the list of features of a call; higher ones are more specific. */
    readonly specificity: number;
    readonly teams: Set<string>;
    /** Crashes after the newest sound call, in order. */
    crashes: readonly EndpointCrash[];
    /** When entries were first told that the feature is suspected. */
    toldAt: Milliseconds | undefined;
    /** When the newest call that turned out sound was sent. */
    soundSentAt: Milliseconds;
}

/** A feature whose calls should be held back, with the evidence. */
export interface CrashVerdict {
    readonly service: string;
    readonly feature: string;
    readonly teams: readonly string[];
    readonly crashedEndpoints: readonly string[];
    readonly firstCrashAt: Milliseconds;
}

/**
 * Finds out which features of calls make endpoints crash, from the crashes and sound calls that all entries report.
 *
 * A feature is the cause if endpoints crash under calls with it again and again, while no such call turns out sound, and
 * too few other endpoints crash for that to be chance. Most calls that run at a crashing endpoint are bystanders: their
 * features are cleared by sound calls elsewhere.
 */
export class CrashLedger {
    private readonly candidates = new Map<string, Candidate>();
    /** Crashes of each service, whatever ran there, in order. */
    private readonly serviceCrashes = new Map<string, readonly EndpointCrash[]>();
    /** When the newest call to each service that turned out sound was sent. */
    private readonly serviceSoundSentAt = new Map<string, Milliseconds>();

    /** @param endpointCount Number of endpoints of a service. */
    constructor(private readonly endpointCount: (service: string) => number) {}

    /** Number of features under observation. */
    get size(): number {
        return this.candidates.size;
    }

    /** Records a crash of an endpoint with the calls that ran there. */
    recordCrash({ endpoint, service, age, calls }: CrashReport, now: Milliseconds): void {
        const at = now - age;
        const recent = (this.serviceCrashes.get(service) ?? []).filter(each => now - each.at <= maximumEvidenceAge);
        this.serviceCrashes.set(service, withCrash(recent, { endpoint, at }).slice(-maximumServiceCrashes));
        for (const { team = "", features } of calls) {
            features.forEach((feature, specificity) => {
                this.addCrash({ service, feature, specificity }, team, { endpoint, at });
            });
        }
    }

    /** Records that a call with a feature turned out sound: what crashed before it was sent is no evidence. */
    recordSound({ service, feature, age }: SoundReport, now: Milliseconds): void {
        const known = this.serviceSoundSentAt.get(service) ?? -Infinity;
        this.serviceSoundSentAt.set(service, Math.max(known, now - age));
        const candidate = this.candidates.get(featureKey({ service, feature }));
        if (candidate !== undefined) {
            candidate.soundSentAt = Math.max(candidate.soundSentAt, now - age);
            candidate.crashes = candidate.crashes.filter(({ at }) => at >= candidate.soundSentAt);
        }
    }

    /** Whether endpoints crashed under calls with a feature, and none with it was sound since. */
    isSuspected(service: string, feature: string): boolean {
        return (this.candidates.get(featureKey({ service, feature }))?.crashes.length ?? 0) > 0;
    }

    /** Drops the evidence on a feature. */
    forget(service: string, feature: string): void {
        this.candidates.delete(featureKey({ service, feature }));
    }

    /** The strongest suspects, which entries are told so that they clear them if they can. */
    publishSuspects(now: Milliseconds): readonly Suspect[] {
        const suspected = this.byWeight().filter(({ crashes }) => crashes.length > 0);
        const shared = suspected.filter(({ feature }) => !isCallFeature(feature)).slice(0, maximumSuspects);
        const calls = suspected.filter(({ feature }) => isCallFeature(feature)).slice(0, maximumSuspects);
        return [...shared, ...calls].map(candidate => {
            candidate.toldAt ??= now;
            const { service, feature, crashes } = candidate;
            return {
                service,
                feature,
                age: Math.max(0, now - firstCrashAt(candidate)),
                incidents: countIncidents(crashes),
            };
        });
    }

    /**
     * The features whose calls should be held back from now on.
     *
     * A feature whose every crash is explained by one that is held back already is a companion of it, not a cause.
     */
    verdicts(holds: readonly FeatureHold[], now: Milliseconds): readonly CrashVerdict[] {
        const explained = holds.map(({ service, crashedEndpoints }) => ({
            service,
            crashed: new Set(crashedEndpoints),
        }));
        const held = new Set(holds.map(featureKey));
        const verdicts: CrashVerdict[] = [];
        for (const candidate of this.byWeight()) {
            const { service, feature, crashes, teams } = candidate;
            if (
                !this.isDecisive(candidate, now)
                || held.has(featureKey(candidate))
                || explained.some(each =>
                    each.service === service && crashes.every(({ endpoint }) => each.crashed.has(endpoint))
                )
            ) {
                continue;
            }
            const crashedEndpoints = crashes.map(({ endpoint }) => endpoint);
            explained.push({ service, crashed: new Set(crashedEndpoints) });
            verdicts.push({
                service,
                feature,
                teams: [...teams],
                crashedEndpoints,
                firstCrashAt: firstCrashAt(candidate),
            });
        }
        return verdicts;
    }

    /** Drops old evidence, and the weakest candidates if there are too many. */
    prune(now: Milliseconds): void {
        for (const [key, candidate] of this.candidates) {
            candidate.crashes = candidate.crashes.filter(({ at }) => now - at <= maximumEvidenceAge);
            if (candidate.crashes.length === 0 && now - candidate.soundSentAt > sameCrashTime) {
                this.candidates.delete(key);
            }
        }
        if (this.candidates.size > maximumCandidates) {
            this.byWeight().slice(maximumCandidates).forEach(({ service, feature }) => {
                this.forget(service, feature);
            });
        }
    }

    private addCrash(
        { service, feature, specificity }: Pick<Candidate, "service" | "feature" | "specificity">,
        team: string,
        crash: EndpointCrash,
    ): void {
        const key = featureKey({ service, feature });
        const candidate = this.candidates.get(key)
            ?? {
                service,
                feature,
                specificity,
                teams: new Set<string>(),
                crashes: [],
                toldAt: undefined,
                soundSentAt: -Infinity,
            };
        this.candidates.set(key, candidate);
        if (crash.at < candidate.soundSentAt) {
            return;
        }
        candidate.teams.add(team);
        candidate.crashes = withCrash(candidate.crashes, crash).slice(-maximumCrashes);
    }

    private isDecisive(candidate: Candidate, now: Milliseconds): boolean {
        const { service, feature, crashes } = candidate;
        const hitProbability = this.hitProbability(candidate);
        if (hitProbability > maximumHitProbability) {
            return false;
        }
        if (isCallFeature(feature)) {
            return crashes.length >= decisiveCrashesOfCall
                && hitProbability ** crashes.length <= maximumChance;
        }
        const incidents = countIncidents(crashes);
        // A feature that all calls share cannot be told from a service that is broken.
        const isServiceSound = (this.serviceSoundSentAt.get(service) ?? -Infinity) > firstCrashAt(candidate);
        return isServiceSound
            && incidents >= decisiveIncidents
            && now - firstCrashAt(candidate) >= minimumEvidenceTime
            && now - (candidate.toldAt ?? now) >= minimumReplyTime
            && hitProbability ** incidents <= maximumChance;
    }

    /** Probability that a call that causes no crash is hit by one, by the rate of crashes without the candidate. */
    private hitProbability({ service, feature, crashes }: Candidate): number {
        const exposure = isCallFeature(feature) ? exposureTimeOfCall : exposureTime;
        const firstAt = crashes[0]?.at ?? 0;
        const lastAt = crashes.at(-1)?.at ?? 0;
        const others = (this.serviceCrashes.get(service) ?? []).filter(({ endpoint, at }) =>
            at >= firstAt && at <= lastAt && !includesCrash(crashes, { endpoint, at })
        );
        const duration = Math.max(minimumRateTime, lastAt - firstAt);
        const crashRate = crashRateAllowance * others.length / duration;
        return Math.min(1, crashRate * exposure / Math.max(1, this.endpointCount(service)));
    }

    /** Candidates in descending order of evidence; of equal ones, the most specific first. */
    private byWeight(): readonly Candidate[] {
        const weighed = [...this.candidates.values()].map(candidate => {
            return { candidate, incidents: countIncidents(candidate.crashes) };
        });
        weighed.sort((a, b) =>
            b.incidents - a.incidents
            || b.candidate.crashes.length - a.candidate.crashes.length
            || b.candidate.specificity - a.candidate.specificity
        );
        return weighed.map(({ candidate }) => candidate);
    }
}

/** Adds a crash to a list in order, unless it holds it. */
function withCrash(crashes: readonly EndpointCrash[], crash: EndpointCrash): readonly EndpointCrash[] {
    return includesCrash(crashes, crash) ? crashes : [...crashes, crash].sort((a, b) => a.at - b.at);
}

/** Whether a list holds a crash, also if it was observed at a slightly different time. */
function includesCrash(crashes: readonly EndpointCrash[], { endpoint, at }: EndpointCrash): boolean {
    return crashes.some(each => each.endpoint === endpoint && Math.abs(each.at - at) < sameCrashTime);
}

function firstCrashAt({ crashes }: Candidate): Milliseconds {
    return crashes[0]?.at ?? Infinity;
}

/** Number of crashes, those within a short time counted once. */
function countIncidents(crashes: readonly EndpointCrash[]): number {
    let incidents = 0;
    let incidentAt = -Infinity;
    for (const { at } of crashes) {
        if (at - incidentAt >= incidentTime) {
            incidents++;
            incidentAt = at;
        }
    }
    return incidents;
}
