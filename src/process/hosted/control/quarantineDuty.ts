import type { CrashReport, Evidence, HeldFeature, Suspect } from "../../../connection/hosted/quarantineMessages.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds, UnixMilliseconds } from "../../../util/clock.js";
import { SerialQueue } from "../../../util/serialQueue.js";
import { withTimeout } from "../../../util/withTimeout.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import type { CommandLog } from "../../replicatedLog/commandLog.js";
import type { FeatureHold } from "../featureHold.js";
import { compareEvidence, maximumHolds } from "../featureHold.js";
import { CrashLedger } from "./crashLedger.js";
import type { CrashVerdict } from "./crashLedger.js";
import { beginTrial, createHold, isDisproved, recordCrash } from "./holdPolicy.js";
import type { HostedCommand, HostedOutcome, HostedState } from "./hostedState.js";

/** Timeout of a commit. */
const commitTimeout: Milliseconds = 850;

/** Interval between two evaluations of the evidence while there is any. */
const evaluationInterval: Milliseconds = 200;

/** Time for which evidence is collected before it is evaluated: many entries may report the same crash. */
const collectionTime: Milliseconds = 20;

/** Dependencies of {@link QuarantineDuty}. */
export interface QuarantineDutyOptions {
    readonly log: CommandLog<HostedCommand, HostedOutcome>;
    readonly state: HostedState;
    readonly clock: Clock;
    /** Wall-clock time that does not depend on the clock of this VM alone. */
    readonly unixNow: () => UnixMilliseconds;
    readonly eventLog: EventLog;
    /** Number of endpoints of a service. */
    readonly endpointCount: (service: string) => number;
    /** Called after the list of suspects has changed. */
    readonly onSuspectsChange: () => void;
}

interface PublishedSuspects {
    readonly version: number;
    readonly suspects: readonly Suspect[];
    readonly publishedAt: Milliseconds;
}

/**
 * Holds back calls under which endpoints crash, lets single ones through to learn whether that has ended, and releases
 * them.
 *
 * All control processes record evidence; the leader decides. Its decisions are in the log before they take effect, so that
 * neither a change of leader nor the restart of all processes lets the calls through.
 */
export class QuarantineDuty {
    private readonly ledger: CrashLedger;
    private readonly decisions = new SerialQueue();
    private isEvaluationPending = false;
    private newestSuspectsVersion = 0;
    private publishedSuspects: PublishedSuspects = { version: 0, suspects: [], publishedAt: 0 };
    private crashes = 0;

    constructor(private readonly options: QuarantineDutyOptions) {
        this.ledger = new CrashLedger(options.endpointCount);
    }

    /** The features whose calls are held back, for entries. */
    heldFeatures(): readonly HeldFeature[] {
        const now = this.options.unixNow();
        return this.options.state.holds.map(
            ({ service, feature, teams, firstCrashAt, nextTrialAt, isTrialRunning }) => {
                return {
                    service,
                    feature,
                    age: Math.max(0, now - firstCrashAt),
                    isTrialRunning,
                    ...teams === undefined ? {} : { teams },
                    ...nextTrialAt === undefined ? {} : { trialIn: Math.max(0, nextTrialAt - now) },
                };
            },
        );
    }

    /** Changes with the list of suspects; 0 for an empty list. */
    get suspectsVersion(): number {
        return this.publishedSuspects.version;
    }

    /** The strongest suspects, for entries; empty while this process does not lead. */
    suspects(): readonly Suspect[] {
        const { suspects, publishedAt } = this.publishedSuspects;
        const elapsed = this.options.clock.now() - publishedAt;
        return suspects.map(suspect => ({ ...suspect, age: suspect.age + elapsed }));
    }

    /** Records what an entry reports, and decides on it. */
    recordEvidence({ crashes, sound }: Pick<Evidence, "crashes" | "sound">): void {
        const now = this.options.clock.now();
        crashes.forEach(crash => {
            this.crashes++;
            this.ledger.recordCrash(crash, now);
        });
        sound.forEach(report => {
            this.ledger.recordSound(report, now);
        });
        void this.decisions.run(async () => {
            for (const report of sound) {
                await this.releaseIfSound(report.service, report.feature, report.age);
            }
            for (const crash of crashes) {
                await this.recordCrashOfHeldCalls(crash);
            }
        });
        void this.evaluateSoon();
    }

    /** Evaluates the evidence again from time to time until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.ledger.size > 0) {
                await this.evaluate();
            }
            await this.options.clock.sleep(evaluationInterval, signal);
        }
    }

    /**
     * Decides whether one call that is held back may be let through now.
     *
     * @param features All features of the call.
     */
    requestTrial(service: string, feature: string, features: readonly string[]): Promise<boolean> {
        return this.decisions.run(async () => {
            const { state, unixNow, eventLog, log } = this.options;
            if (log.leadingTerm() === undefined) {
                return false;
            }
            const hold = state.findHold(service, feature);
            if (hold === undefined) {
                return true;
            }
            const others = features.filter(each => each !== feature);
            const isAmbiguous = others.some(other => this.ledger.isSuspected(service, other));
            const tried = beginTrial(hold, isAmbiguous, unixNow());
            if (tried === undefined) {
                return false;
            }
            const isStored = await this.store(tried);
            if (isStored) {
                eventLog.write("holdTrialBegan", { service, feature, trials: tried.trials });
            }
            return isStored;
        });
    }

    /** Releases calls by an operator's decision; undefined if that could not be stored. */
    release(service: string, feature: string): Promise<boolean | undefined> {
        return this.decisions.run(async () => {
            if (this.options.state.findHold(service, feature) === undefined) {
                return false;
            }
            return await this.endHold(service, feature, "operator") ? true : undefined;
        });
    }

    write(writer: ExpositionWriter): void {
        writer.family(
            "gullhall_crash_reports_total",
            "counter",
            "Crashes of endpoints, once for each entry that lost calls.",
        );
        writer.sample("gullhall_crash_reports_total", {}, this.crashes);
        writer.family(
            "gullhall_hold_trials",
            "gauge",
            "Features of calls that are held back, and their trials so far.",
        );
        for (const { service, feature, trials } of this.options.state.holds) {
            writer.sample("gullhall_hold_trials", { service, feature }, trials);
        }
    }

    private async evaluateSoon(): Promise<void> {
        if (this.isEvaluationPending) {
            return;
        }
        this.isEvaluationPending = true;
        await this.options.clock.sleep(collectionTime);
        this.isEvaluationPending = false;
        await this.evaluate();
    }

    private async evaluate(): Promise<void> {
        this.ledger.prune(this.options.clock.now());
        this.publishSuspects();
        await this.decisions.run(() => this.holdBack());
    }

    private publishSuspects(): void {
        const { log, clock, onSuspectsChange } = this.options;
        const publishedAt = clock.now();
        // Followers have nearly the same evidence, so that they know what the leader has told entries.
        const strongest = this.ledger.publishSuspects(publishedAt);
        const suspects = log.leadingTerm() === undefined ? [] : strongest;
        if (digestOf(suspects) === digestOf(this.publishedSuspects.suspects)) {
            return;
        }
        this.newestSuspectsVersion++;
        const version = suspects.length === 0 ? 0 : this.newestSuspectsVersion;
        this.publishedSuspects = { version, suspects, publishedAt };
        onSuspectsChange();
    }

    /** Holds back the calls whose features the evidence shows as causes. */
    private async holdBack(): Promise<void> {
        const { clock, state, log } = this.options;
        if (log.leadingTerm() === undefined) {
            return;
        }
        for (const verdict of this.ledger.verdicts(state.holds, clock.now())) {
            const weakest = [...state.holds].sort(compareEvidence).at(maximumHolds - 1);
            if (weakest === undefined || compareEvidence({ ...verdict, trials: 0 }, weakest) < 0) {
                await this.hold(verdict);
            }
        }
    }

    private async hold(verdict: CrashVerdict): Promise<void> {
        const { clock, unixNow, eventLog } = this.options;
        const { service, feature, teams, crashedEndpoints, firstCrashAt } = verdict;
        const isStored = await this.store(createHold(verdict, clock.now() - firstCrashAt, unixNow()));
        if (isStored) {
            eventLog.write("callsHeldBack", {
                service,
                feature,
                teams: teams.join(" "),
                endpoints: crashedEndpoints.join(" "),
            });
        }
    }

    /** Takes a crash under calls that are held back for a failed trial, and for evidence against further teams. */
    private async recordCrashOfHeldCalls(crash: CrashReport): Promise<void> {
        const { state, log, eventLog, unixNow } = this.options;
        for (const hold of log.leadingTerm() === undefined ? [] : state.holds) {
            const changed = recordCrash(hold, crash, unixNow());
            if (changed !== undefined && await this.store(changed) && hold.isTrialRunning && !changed.isTrialRunning) {
                const { service, feature, trials } = hold;
                eventLog.write("holdTrialFailed", { service, feature, endpoint: crash.endpoint, trials });
            }
        }
    }

    /** Releases calls with a feature if one that was sent after the first crash turned out sound. */
    private async releaseIfSound(service: string, feature: string, age: Milliseconds): Promise<void> {
        const { state, log, unixNow } = this.options;
        const hold = state.findHold(service, feature);
        if (hold !== undefined && log.leadingTerm() !== undefined && isDisproved(hold, age, unixNow())) {
            await this.endHold(service, feature, "sound");
        }
    }

    private async endHold(service: string, feature: string, reason: "sound" | "operator"): Promise<boolean> {
        const isStored = await this.propose({ kind: "releaseCalls", service, feature });
        if (isStored) {
            this.ledger.forget(service, feature);
            this.options.eventLog.write("callsReleased", { service, feature, reason });
        }
        return isStored;
    }

    private store(hold: FeatureHold): Promise<boolean> {
        return this.propose({ kind: "holdCalls", hold });
    }

    private async propose(command: HostedCommand): Promise<boolean> {
        const { log, clock } = this.options;
        const committed = await withTimeout(clock, commitTimeout, signal => log.propose(command, signal));
        return committed.ok;
    }
}

/** Describes a list of suspects but for their ages. */
function digestOf(suspects: readonly Suspect[]): string {
    return suspects.map(({ service, feature, incidents }) => `${service} ${feature} ${incidents}`).join("\n");
}
