import type { Evidence, HeldFeature, Suspect } from "../../../connection/hosted/quarantineMessages.js";
import { isCallFeature } from "../../../request/hosted/callFeatures.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import { featureKey } from "../featureHold.js";
import type { ObservedCrash } from "./crashObserver.js";

/** Number of features of sound calls that are remembered; the least recently seen ones are dropped. */
const maximumSoundFeatures = 8_192;

/** Time for which evidence is kept for control processes that have not received it. */
const evidenceRetention: Milliseconds = 60_000;

/** Maximum number of reports that are kept. */
const maximumReports = 256;

/** Stands for all calls of a service: some are sound while those with a suspected feature are not. */
const anyFeature = "";

/** Number of incidents from which calls with a shared feature are suspicious; identical calls are from the first one. */
const suspiciousIncidents = 2;

/** Shortest time after which a caller should try again. */
const minimumRetryAfter: Milliseconds = 1_000;

/** Time after which a caller should try again if only an operator can release its calls. */
const unknownRetryAfter: Milliseconds = 60_000;

/** Calls that are held back, as this entry knows it. */
export interface KnownHold {
    readonly service: string;
    readonly feature: string;
    /** Undefined for all teams. */
    readonly teams: readonly string[] | undefined;
    readonly firstCrashAt: Milliseconds;
    /** When another call may be let through; infinite if only an operator can release the calls. */
    readonly nextTrialAt: Milliseconds;
    readonly isTrialRunning: boolean;
}

/** What is known of a feature of calls that turned out sound or made an endpoint crash. */
type Report =
    | { readonly kind: "crash"; readonly version: number; readonly at: Milliseconds; readonly crash: ObservedCrash; }
    | {
        readonly kind: "sound";
        readonly version: number;
        /** When the sound call was sent. */
        readonly at: Milliseconds;
        readonly service: string;
        readonly feature: string;
    };

interface KnownSuspect {
    readonly firstCrashAt: Milliseconds;
    readonly incidents: number;
}

/** What an entry knows of calls under which endpoints crash, and what it has to report. */
export class CallQuarantine {
    private revision = 0;
    private holds: readonly KnownHold[] = [];
    private suspects: ReadonlyMap<string, KnownSuspect> = new Map();
    /** When the newest sound call with a feature was sent, in order of use. */
    private readonly soundSentAt = new Map<string, Milliseconds>();
    private readonly reportedSoundAt = new Map<string, Milliseconds>();
    private reports: readonly Report[] = [];
    private newestVersion = 0;
    private refused = 0;
    private trials = 0;

    /** @param onReport Called when there is something new to report. */
    constructor(private readonly onReport: () => void) {}

    /** Number of the newest report. */
    get version(): number {
        return this.newestVersion;
    }

    /** Puts a list of holds in force unless it is older than the known one. */
    applyHolds(revision: number, holds: readonly HeldFeature[], now: Milliseconds): void {
        if (revision < this.revision) {
            return;
        }
        this.revision = revision;
        this.holds = holds.map(({ service, feature, teams, age, trialIn, isTrialRunning }) => {
            const nextTrialAt = trialIn === undefined ? Infinity : now + trialIn;
            return { service, feature, teams, firstCrashAt: now - age, nextTrialAt, isTrialRunning };
        });
        this.holds.forEach(hold => {
            this.reportIfSound(hold.service, hold.feature, hold.firstCrashAt, now);
        });
    }

    /** Replaces the leader's suspects, and reports those that this entry knows to be sound. */
    applySuspects(suspects: readonly Suspect[], now: Milliseconds): void {
        const known = new Map<string, KnownSuspect>();
        for (const { service, feature, age, incidents } of suspects) {
            const firstCrashAt = now - age;
            known.set(featureKey({ service, feature }), { firstCrashAt, incidents });
            const anyKey = featureKey({ service, feature: anyFeature });
            const newestCrashAt = Math.max(firstCrashAt, known.get(anyKey)?.firstCrashAt ?? -Infinity);
            known.set(anyKey, { firstCrashAt: newestCrashAt, incidents: 0 });
        }
        this.suspects = known;
        for (const { service, feature, age } of suspects) {
            this.reportIfSound(service, feature, now - age, now);
            this.reportIfSound(
                service,
                anyFeature,
                known.get(featureKey({ service, feature: anyFeature }))?.firstCrashAt ?? Infinity,
                now,
            );
        }
    }

    /** The holds that concern a call. */
    holdsOf(service: string, team: string | undefined, features: readonly string[]): readonly KnownHold[] {
        return this.holds.filter(hold =>
            hold.service === service && features.includes(hold.feature) && hold.teams?.includes(team ?? "") !== false
        );
    }

    /** Whether a call may be the cause of crashes, by those under calls that share a feature with it. */
    isSuspicious(service: string, features: readonly string[]): boolean {
        return features.some(feature => {
            const incidents = this.suspects.get(featureKey({ service, feature }))?.incidents ?? 0;
            return incidents >= (isCallFeature(feature) ? 1 : suspiciousIncidents);
        });
    }

    /** Time after which the caller of a call that is held back should try again. */
    retryAfter({ nextTrialAt, isTrialRunning }: KnownHold, now: Milliseconds): Milliseconds {
        const wait = isTrialRunning ? 0 : Math.min(unknownRetryAfter, nextTrialAt - now);
        return Math.max(minimumRetryAfter, wait);
    }

    recordRefusal(): void {
        this.refused++;
    }

    recordTrial(): void {
        this.trials++;
    }

    /** Records a crash for the control processes. */
    recordCrash(crash: ObservedCrash, now: Milliseconds): void {
        if (crash.lostCalls.some(({ features }) => features.length > 0)) {
            this.newestVersion++;
            this.addReport({ kind: "crash", version: this.newestVersion, at: crash.observedAt, crash }, now);
        }
    }

    /** Records that a call did not make its endpoint crash. */
    recordSound(service: string, features: readonly string[], sentAt: Milliseconds, now: Milliseconds): void {
        for (const feature of [...features, anyFeature]) {
            const key = featureKey({ service, feature });
            const newest = Math.max(sentAt, this.soundSentAt.get(key) ?? -Infinity);
            this.soundSentAt.delete(key);
            this.soundSentAt.set(key, newest);
            const hold = this.holds.find(each => featureKey(each) === key);
            const firstCrashAt = hold?.firstCrashAt ?? this.suspects.get(key)?.firstCrashAt;
            if (firstCrashAt !== undefined) {
                this.reportIfSound(service, feature, firstCrashAt, now);
            }
        }
        for (const key of this.soundSentAt.keys()) {
            if (this.soundSentAt.size <= maximumSoundFeatures) {
                break;
            }
            this.soundSentAt.delete(key);
        }
    }

    /** Reports with a higher version than the given one; undefined if there are none. */
    evidenceSince(version: number, now: Milliseconds): Evidence | undefined {
        const unsent = this.reports.filter(report => report.version > version && now - report.at < evidenceRetention);
        if (unsent.length === 0) {
            return undefined;
        }
        return {
            kind: "evidence",
            crashes: unsent.flatMap(report => report.kind === "crash" ? [crashMessage(report.crash, now)] : []),
            sound: unsent.flatMap(report => {
                return report.kind === "sound"
                    ? [{ service: report.service, feature: report.feature, age: Math.max(0, now - report.at) }]
                    : [];
            }),
        };
    }

    write(writer: ExpositionWriter): void {
        writer.family("gullhall_held_features", "gauge", "Features of calls that are held back.");
        writer.sample("gullhall_held_features", {}, this.holds.length);
        writer.family("gullhall_held_calls_total", "counter", "Calls that concerned such a feature, by decision.");
        writer.sample("gullhall_held_calls_total", { decision: "refused" }, this.refused);
        writer.sample("gullhall_held_calls_total", { decision: "trial" }, this.trials);
    }

    /** Reports a sound call that was sent after the first crash under calls with the same feature. */
    private reportIfSound(service: string, feature: string, firstCrashAt: Milliseconds, now: Milliseconds): void {
        const key = featureKey({ service, feature });
        const sentAt = this.soundSentAt.get(key) ?? -Infinity;
        if (sentAt > firstCrashAt && (this.reportedSoundAt.get(key) ?? -Infinity) <= firstCrashAt) {
            this.reportedSoundAt.set(key, sentAt);
            this.newestVersion++;
            this.addReport({ kind: "sound", version: this.newestVersion, at: sentAt, service, feature }, now);
        }
    }

    private addReport(report: Report, now: Milliseconds): void {
        const recent = this.reports.filter(({ at }) => now - at < evidenceRetention);
        this.reports = [...recent, report].slice(-maximumReports);
        for (const key of this.reportedSoundAt.keys()) {
            if (this.reportedSoundAt.size <= maximumReports) {
                break;
            }
            this.reportedSoundAt.delete(key);
        }
        this.onReport();
    }
}

function crashMessage(
    { endpoint, service, observedAt, lostCalls }: ObservedCrash,
    now: Milliseconds,
): Evidence["crashes"][number] {
    const calls = lostCalls.filter(({ features }) => features.length > 0).map(({ team, features }) => {
        return { features, ...team === undefined ? {} : { team } };
    });
    return { endpoint, service, age: Math.max(0, now - observedAt), calls };
}
