import { EventLog } from "../../../src/logEvent/eventLog.js";
import { HostedState } from "../../../src/process/hosted/control/hostedState.js";
import { QuarantineDuty } from "../../../src/process/hosted/control/quarantineDuty.js";
import { CallQuarantine } from "../../../src/process/hosted/entry/callQuarantine.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { VirtualClock } from "../platform/virtualClock.js";
import { VolatileCommandLog } from "../replicatedLog/volatileCommandLog.js";

const service = "drafting";

/** One way between an entry and a control process. */
const networkDelay: Milliseconds = 2;

/** Time from the end of an endpoint until an entry is sure of it. */
const observationTime: Milliseconds = 27;

/** Time from the sending of a call until its answer begins. */
const startTime: Milliseconds = 100;

/** Time from the beginning of an answer until the endpoint crashes under a call that makes it crash. */
const crashDelay: Milliseconds = 50;

/** Time for which a call must have been answered to count as sound. */
const establishedTime: Milliseconds = 500;

const answerTime: Milliseconds = 1_200;

const restartTime: Milliseconds = 1_500;

const eventLog = new EventLog("test", "hidden");

/** A call that runs at an endpoint. */
interface RunningCall {
    readonly entry: FleetEntry;
    readonly features: readonly string[];
    readonly sentAt: Milliseconds;
}

interface FleetEndpoint {
    readonly index: number;
    boot: number;
    isUp: boolean;
    readonly running: Set<RunningCall>;
}

interface FleetEntry {
    quarantine: CallQuarantine;
    /** Version of the newest evidence that each control process has received. */
    sentVersions: number[];
    isCutOff: boolean;
}

/** What became of the calls of a {@link QuarantineFleet}. */
export interface FleetRecord {
    /** Times at which calls with the crashing feature were sent to endpoints by entries that were not cut off. */
    readonly harmful: readonly Milliseconds[];
    readonly crashes: readonly Milliseconds[];
    /** Times and outcomes of sound calls. */
    readonly sound: readonly { readonly at: Milliseconds; readonly wasRefused: boolean; }[];
}

/** Entries, control processes and endpoints in virtual time; calls with one feature make endpoints crash. */
export class QuarantineFleet implements FleetRecord {
    readonly clock = new VirtualClock();
    readonly harmful: Milliseconds[] = [];
    readonly crashes: Milliseconds[] = [];
    readonly sound: { readonly at: Milliseconds; readonly wasRefused: boolean; }[] = [];
    readonly entries: FleetEntry[];
    readonly state: HostedState;
    private readonly random: RandomSource;
    private readonly duties: QuarantineDuty[];
    private readonly endpoints: FleetEndpoint[];
    private leader = 0;
    private isSuspectsPushPending = false;
    private nextSuspectsPushAt: Milliseconds = 0;

    constructor(seed: number, entryCount: number, endpointCount: number) {
        this.random = new RandomSource(seed);
        this.state = new HostedState(() => undefined, () => {
            this.pushHolds();
        });
        this.duties = Array.from(Array(3).keys(), index => this.createDuty(index));
        this.entries = Array.from(Array(entryCount).keys(), () => this.createEntry());
        this.endpoints = Array.from(Array(endpointCount).keys(), index => {
            return { index, boot: 0, isUp: true, running: new Set<RunningCall>() };
        });
    }

    /** Lets the next control process lead. */
    changeLeader(): void {
        this.leader = (this.leader + 1) % this.duties.length;
    }

    /** Replaces all control processes by ones that know only what is stored. */
    restartControls(): void {
        for (const index of this.duties.keys()) {
            this.duties[index] = this.createDuty(index);
        }
        this.entries.forEach(entry => {
            entry.sentVersions = [0, 0, 0];
            this.report(entry);
        });
    }

    /** Replaces an entry by one that has just started. */
    restartEntry(index: number): void {
        this.entries[index] = this.createEntry();
        this.pushHolds();
    }

    /** Ends some endpoints for a reason of their own. */
    endEndpoints(count: number): void {
        this.endpoints.filter(({ isUp }) => isUp).slice(0, count).forEach(endpoint => {
            this.crash(endpoint);
        });
    }

    /** Sends a call with these features from a random entry; the feature `segment:bad` makes its endpoint crash. */
    async call(features: readonly string[]): Promise<void> {
        const { clock } = this;
        const entry = this.random.pick(this.entries);
        const isHarmful = features.includes("segment:bad");
        if (entry === undefined) {
            return;
        }
        const at = clock.now();
        if (!await this.mayBeSent(entry, features)) {
            this.sound.push(...isHarmful ? [] : [{ at, wasRefused: true }]);
            return;
        }
        const endpoint = this.random.pick(this.endpoints.filter(({ isUp }) => isUp));
        if (endpoint === undefined) {
            return;
        }
        const call = { entry, features, sentAt: clock.now() };
        const { boot } = endpoint;
        endpoint.running.add(call);
        this.harmful.push(...isHarmful && !entry.isCutOff ? [call.sentAt] : []);
        this.sound.push(...isHarmful ? [] : [{ at, wasRefused: false }]);
        const runs = (): boolean => endpoint.boot === boot && endpoint.isUp;
        await clock.sleep(startTime + crashDelay);
        if (isHarmful && runs()) {
            this.crash(endpoint);
        }
        await clock.sleep(establishedTime - crashDelay);
        if (runs()) {
            endpoint.running.delete(call);
            entry.quarantine.recordSound(service, features, call.sentAt, clock.now());
            this.report(entry);
            await clock.sleep(answerTime - establishedTime);
        }
    }

    private async mayBeSent({ quarantine, isCutOff }: FleetEntry, features: readonly string[]): Promise<boolean> {
        const hold = quarantine.holdsOf(service, "team", features)[0];
        if (hold === undefined) {
            return true;
        }
        if (hold.nextTrialAt > this.clock.now() || isCutOff) {
            return false;
        }
        await this.clock.sleep(networkDelay);
        const isGranted = await this.duties[this.leader]?.requestTrial(service, hold.feature, features) ?? false;
        await this.clock.sleep(networkDelay);
        return isGranted;
    }

    private crash(endpoint: FleetEndpoint): void {
        const { clock } = this;
        const id = `e${endpoint.index}-${endpoint.boot}`;
        const observedAt = clock.now();
        this.crashes.push(observedAt);
        endpoint.isUp = false;
        endpoint.boot++;
        for (const entry of this.entries) {
            const calls = [...endpoint.running].filter(call => call.entry === entry);
            if (calls.length > 0) {
                const lostCalls = calls.map(({ features }) => ({ team: "team", features }));
                void clock.sleep(observationTime).then(() => {
                    entry.quarantine.recordCrash({ endpoint: id, service, observedAt, lostCalls }, clock.now());
                    this.report(entry);
                });
            }
        }
        endpoint.running.clear();
        void clock.sleep(restartTime).then(() => {
            endpoint.isUp = true;
        });
    }

    private report(entry: FleetEntry): void {
        this.duties.forEach((duty, index) => {
            const evidence = entry.quarantine.evidenceSince(entry.sentVersions[index] ?? 0, this.clock.now());
            if (evidence === undefined || entry.isCutOff) {
                return;
            }
            entry.sentVersions[index] = entry.quarantine.version;
            void this.clock.sleep(networkDelay).then(() => {
                duty.recordEvidence(evidence);
            });
        });
    }

    private pushHolds(): void {
        const revision = this.state.holdsRevision;
        void this.clock.sleep(networkDelay).then(() => {
            const holds = this.duties[0]?.heldFeatures() ?? [];
            for (const { quarantine } of this.entries.filter(({ isCutOff }) => !isCutOff)) {
                quarantine.applyHolds(revision, holds, this.clock.now());
            }
        });
    }

    private pushSuspects(): void {
        if (this.isSuspectsPushPending) {
            return;
        }
        this.isSuspectsPushPending = true;
        // As the leader does, less often the more entries there are.
        void this.clock.sleep(Math.max(0, this.nextSuspectsPushAt - this.clock.now()) + networkDelay).then(() => {
            this.isSuspectsPushPending = false;
            this.nextSuspectsPushAt = this.clock.now() + Math.max(50, this.entries.length * 3);
            const suspects = this.duties[this.leader]?.suspects() ?? [];
            for (const entry of this.entries.filter(({ isCutOff }) => !isCutOff)) {
                entry.quarantine.applySuspects(suspects, this.clock.now());
                this.report(entry);
            }
        });
    }

    private createEntry(): FleetEntry {
        return { quarantine: new CallQuarantine(() => undefined), sentVersions: [0, 0, 0], isCutOff: false };
    }

    private createDuty(index: number): QuarantineDuty {
        const { clock, state } = this;
        const isLeading = (): boolean => this.leader === index;
        const duty = new QuarantineDuty({
            log: new SharedLog(state, isLeading),
            state,
            clock,
            unixNow: () => clock.unixNow(),
            eventLog,
            endpointCount: () => this.endpoints.length,
            onSuspectsChange: () => {
                if (isLeading()) {
                    this.pushSuspects();
                }
            },
        });
        void duty.run(new AbortController().signal);
        return duty;
    }
}

/** The log of one of several control processes, of which one leads at a time. */
class SharedLog<Command, Outcome> extends VolatileCommandLog<Command, Outcome> {
    constructor(
        stateMachine: ConstructorParameters<typeof VolatileCommandLog<Command, Outcome>>[0],
        private readonly isLeading: () => boolean,
    ) {
        super(stateMachine);
    }

    override leadingTerm(): number | undefined {
        return this.isLeading() ? 1 : undefined;
    }
}
