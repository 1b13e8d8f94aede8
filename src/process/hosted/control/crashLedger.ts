import type { CrashReport, SoundReport, Suspect } from "../../../connection/hosted/quarantineMessages.js";
import { isCallFeature } from "../../../request/hosted/callFeatures.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { FeatureHold } from "../featureHold.js";
import { featureKey } from "../featureHold.js";

/** Time in which several crashes count as one incident: they may have a common cause other than calls. */
const incidentTime: Milliseconds = 250;

/** Time in which reports of the same endpoint's crash arrive; an endpoint may keep its id when it starts again. */
const sameCrashTime: Milliseconds = 1_000;

/** Number of incidents from which calls with a shared feature are held back. */
const decisiveIncidents = 3;

/** Number of crashes from which identical calls are held back: few calls run beside each of them by chance. */
const decisiveCrashesOfCall = 2;

/** Minimum time from the first crash to the decision, in which sound calls with the same feature become known. */
const minimumEvidenceTime: Milliseconds = 1_500;

/** Age from which a crash is no evidence any more. */
const maximumEvidenceAge: Milliseconds = 600_000;

/** Maximum number of features under observation. */
const maximumCandidates = 2_048;

/** Maximum number of crashes that are remembered of one feature. */
const maximumCrashes = 16;

/** Maximum number of suspects that entries are told, of identical calls and of other features each. */
const maximumSuspects = 16;

interface CandidateCrash {
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
    crashes: readonly CandidateCrash[];
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
 * A feature is the cause if endpoints crash under calls with it again and again, while no such call turns out sound. Most
 * calls that run at a crashing endpoint are bystanders: their features are cleared by sound calls elsewhere.
 */
export class CrashLedger {
    private readonly candidates = new Map<string, Candidate>();

    /** Number of features under observation. */
    get size(): number {
        return this.candidates.size;
    }

    /** Records a crash of an endpoint with the calls that ran there. */
    recordCrash({ endpoint, service, age, calls }: CrashReport, now: Milliseconds): void {
        const at = now - age;
        for (const { team = "", features } of calls) {
            features.forEach((feature, specificity) => {
                this.addCrash({ service, feature, specificity }, team, { endpoint, at });
            });
        }
        this.prune(now);
    }

    /** Records that a call with a feature turned out sound: what crashed before it was sent is no evidence. */
    recordSound({ service, feature, age }: SoundReport, now: Milliseconds): void {
        const candidate = this.candidates.get(featureKey({ service, feature }));
        if (candidate !== undefined) {
            candidate.soundSentAt = Math.max(candidate.soundSentAt, now - age);
            candidate.crashes = candidate.crashes.filter(({ at }) => at >= candidate.soundSentAt);
        }
    }

    /** Drops the evidence on a feature. */
    forget(service: string, feature: string): void {
        this.candidates.delete(featureKey({ service, feature }));
    }

    /** The strongest suspects, which entries should clear if they can. */
    suspects(now: Milliseconds): readonly Suspect[] {
        const suspected = this.byWeight().filter(({ crashes }) => crashes.length > 0);
        const shared = suspected.filter(({ feature }) => !isCallFeature(feature)).slice(0, maximumSuspects);
        const calls = suspected.filter(({ feature }) => isCallFeature(feature)).slice(0, maximumSuspects);
        return [...shared, ...calls].map(candidate => {
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
                !isDecisive(candidate, now)
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

    private addCrash(
        { service, feature, specificity }: Pick<Candidate, "service" | "feature" | "specificity">,
        team: string,
        crash: CandidateCrash,
    ): void {
        const key = featureKey({ service, feature });
        const candidate = this.candidates.get(key)
            ?? { service, feature, specificity, teams: new Set<string>(), crashes: [], soundSentAt: -Infinity };
        this.candidates.set(key, candidate);
        if (crash.at < candidate.soundSentAt) {
            return;
        }
        candidate.teams.add(team);
        const isKnown = candidate.crashes.some(({ endpoint, at }) =>
            endpoint === crash.endpoint && Math.abs(at - crash.at) < sameCrashTime
        );
        if (!isKnown) {
            candidate.crashes = [...candidate.crashes, crash].sort((a, b) => a.at - b.at).slice(-maximumCrashes);
        }
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

    /** Drops old evidence, and the weakest candidates if there are too many. */
    private prune(now: Milliseconds): void {
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
}

function isDecisive(candidate: Candidate, now: Milliseconds): boolean {
    return isCallFeature(candidate.feature)
        ? candidate.crashes.length >= decisiveCrashesOfCall
        : countIncidents(candidate.crashes) >= decisiveIncidents
            && now - firstCrashAt(candidate) >= minimumEvidenceTime;
}

function firstCrashAt({ crashes }: Candidate): Milliseconds {
    return crashes[0]?.at ?? Infinity;
}

/** Number of crashes, those within a short time counted once. */
function countIncidents(crashes: readonly CandidateCrash[]): number {
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
