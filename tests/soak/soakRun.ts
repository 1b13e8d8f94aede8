import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../src/util/clock.js";
import { RandomSource } from "../../src/util/randomSource.js";
import { faultKinds, faults } from "./faults.js";
import type { FaultContext, FaultKind } from "./faults.js";
import { Findings } from "./outside/callTracker.js";
import { HarmfulCallers } from "./outside/harmfulCallers.js";
import { SoakCallers } from "./outside/soakCallers.js";
import { SoakOperator } from "./outside/soakOperator.js";
import { UnrulyClients } from "./outside/unrulyClients.js";
import { PlannedStops } from "./plannedStops.js";
import type { InstallationSize } from "./soakInstallation.js";
import { recoveryTimeBound, SoakInstallation } from "./soakInstallation.js";
import type { SoakVm } from "./soakVm.js";

/** Mean time between the starts of two faults. */
const meanFaultInterval: Milliseconds = 900;

/** Upper bound of the duration of a fault. */
const maximumFaultDuration: Milliseconds = 5_000;

/** Time between two polls of the installation. */
const pollInterval: Milliseconds = 100;

/** Time between two changes of the configuration. */
const configurationChangeInterval: Milliseconds = 800;

/** Time for which an endpoint states a rate limit; the limit must hold from 4 s on. */
const limitedPeriod: Milliseconds = 12_000;

/** Time without limits between two endpoints that state one. */
const unlimitedPeriod: Milliseconds = 2_000;

/** Number of calls that are abandoned at each suspended entry. */
const abandonedCallCount = 10;

/** Time without faults before the graceful stops, so that only their effect is observed. */
const quietPeriod: Milliseconds = 4_000;

/** Time for which an endpoint is slower. */
const slowerPeriod: Milliseconds = 4_000;

/** Upper bound of the factor by which an endpoint becomes slower. */
const maximumDurationFactor = 10;

/**
 * Longest wait for a control process whose data folder was deleted. Other faults may delay its recovery further; the
 * check after all faults detects whether it recovers.
 */
const catchUpTimeout: Milliseconds = 20_000;

/** Options of a soak. */
export interface SoakOptions {
    readonly seed: number;
    /** Second octet of the loopback addresses, unique among concurrent soaks. */
    readonly network: number;
    /** Folder for the settings, logs and data of all processes. */
    readonly folder: string;
    readonly size: InstallationSize;
    /** Number of concurrent callers, and of further ones that stay with an entry as long as it is there. */
    readonly callers: number;
    /** Number of connections of clients that send requests ahead and read nothing; 0 by default. */
    readonly unrulyClients?: number;
    /** Period during which new faults are injected. */
    readonly faultPeriod: Milliseconds;
    /** Number of rounds of planned stops after the recovery. */
    readonly stopRounds: number;
    /** Longest time until the installation serves again after all faults; undefined if unlimited. */
    readonly maximumRecoveryTime: Milliseconds | undefined;
}

/** Report of a soak. */
export interface SoakReport {
    /** Violated guarantees, with their time in seconds since the start. */
    readonly findings: readonly string[];
    /** Injected faults and graceful stops in the order of their starts, with their time in seconds since the start. */
    readonly faults: readonly string[];
    /** Numbers of calls by outcome. */
    readonly calls: Readonly<Record<string, number>>;
    /** Time from the end of all faults until the installation served again. */
    readonly recovery: Milliseconds;
    /** Latest configuration version that was acknowledged. */
    readonly acknowledgedVersion: number;
    /** Number of usage windows that the platform received. */
    readonly reportedWindows: number;
}

/** Runs one seed: faults under load, recovery, then planned stops in series, with stricter checks. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const startedAt = performance.now();
    const findings = new Findings(startedAt);
    const random = new RandomSource(options.seed);
    const endpointRandom = new RandomSource(options.seed + 1);
    const { network, folder, size } = options;
    await using installation = await SoakInstallation.start(network, folder, size, findings, endpointRandom);
    const run = new SoakRun(options, installation, findings, random, startedAt);
    return await run.run();
}

class SoakRun {
    private readonly faultLog: string[] = [];
    private readonly stopping = new AbortController();
    private readonly operator: SoakOperator;
    private readonly callers: SoakCallers;

    constructor(
        private readonly options: SoakOptions,
        private readonly installation: SoakInstallation,
        private readonly findings: Findings,
        private readonly random: RandomSource,
        private readonly startedAt: Milliseconds,
    ) {
        const { seed } = options;
        this.operator = new SoakOperator(installation, new RandomSource(seed + 2), findings);
        this.callers = new SoakCallers(
            installation,
            new RandomSource(seed + 3),
            findings,
            () => this.operator.usedKeys,
        );
    }

    async run(): Promise<SoakReport> {
        const { signal } = this.stopping;
        await this.operator.replaceConfiguration(signal);
        await this.waitUntilServing(undefined);
        using callers = this.callers;
        const tasks = [this.submitChanges(), this.pollVersions(), this.limitEndpoints(), this.changeDurations()];
        for (let caller = 0; caller < this.options.callers; caller++) {
            tasks.push(callers.run(false), callers.run(true));
        }
        for (let client = 0; client < (this.options.unrulyClients ?? 0); client++) {
            // Sources of their own, so that the faults of a seed stay the same.
            const random = new RandomSource(this.options.seed + 1_000_000 + client);
            tasks.push(new UnrulyClients(this.installation, random, signal).run());
        }
        const harmfulCallers = this.createHarmfulCallers();
        tasks.push(harmfulCallers.run());
        await this.injectFaults();
        const recovery = await this.waitUntilServing(this.options.maximumRecoveryTime);
        await harmfulCallers.checkAndStop();
        await this.abandonCallsAtSuspendedEntries();
        await this.stopProcessesInSeries();
        this.stopping.abort();
        callers[Symbol.dispose]();
        await Promise.all(tasks);
        return {
            findings: this.findings.all,
            faults: this.faultLog,
            calls: Object.fromEntries(countOccurrences(callers.completedCalls.map(({ outcome }) => outcome))),
            recovery: Math.round(recovery),
            acknowledgedVersion: this.operator.latestAcknowledgedVersion,
            reportedWindows: this.installation.platform.reportedWindows,
        };
    }

    private createHarmfulCallers(): HarmfulCallers {
        // A source of its own, so that the faults of a seed stay the same.
        const random = new RandomSource(this.options.seed + 5);
        return new HarmfulCallers(this.installation, random, this.findings, () => this.operator.validKey);
    }

    /** Lets one endpoint after the other state a rate limit, and checks that it holds. */
    private async limitEndpoints(): Promise<void> {
        const { installation: { endpoints }, stopping: { signal } } = this;
        // A source of its own, so that the faults of a seed stay the same.
        const random = new RandomSource(this.options.seed + 4);
        while (!signal.aborted) {
            const endpoint = random.pick(endpoints);
            endpoint?.setRateLimit(0.2 + 4 * random.float());
            await sleep(limitedPeriod, undefined, { signal }).catch(() => undefined);
            endpoint?.checkRateLimit();
            endpoint?.setRateLimit(undefined);
            await sleep(unlimitedPeriod, undefined, { signal }).catch(() => undefined);
        }
    }

    /** Injects random faults, which may overlap, and waits until all have ended. */
    private async injectFaults(): Promise<void> {
        const { random } = this;
        const context: FaultContext = {
            installation: this.installation,
            random,
            stopRandom: new RandomSource(this.options.seed + 6),
            waitUntilCaughtUp: control => this.waitUntilCaughtUp(control),
        };
        const endsAt = performance.now() + this.options.faultPeriod;
        const running: Promise<void>[] = [];
        while (performance.now() < endsAt) {
            const kind = random.pick(faultKinds);
            const duration = random.float() * maximumFaultDuration;
            if (kind !== undefined) {
                this.logFault(kind);
                running.push(faults[kind](context, duration));
            }
            await sleep(random.exponential(meanFaultInterval));
        }
        await Promise.all(running);
        await this.clearAllFaults();
    }

    /** Removes effects that overlapping faults may have left behind. */
    private async clearAllFaults(): Promise<void> {
        const { controls, entries } = this.installation;
        for (const vm of [...controls, ...entries]) {
            vm.resume();
            await vm.start();
            vm.sendCommand({ kind: "clock", offset: 0 });
            vm.sendCommand({ kind: "disk", condition: "sound" });
        }
        for (const endpoint of this.installation.endpoints) {
            endpoint.setFault(undefined);
        }
    }

    /** Waits until all control processes return the newest version and all entries serve; returns how long it took. */
    private async waitUntilServing(limit: Milliseconds | undefined): Promise<Milliseconds> {
        const waitStartedAt = performance.now();
        const isTimedOut = (): boolean => performance.now() - waitStartedAt > (limit ?? Infinity);
        for (const control of this.installation.controls) {
            while (
                !isTimedOut()
                && (await this.operator.fetchVersion(control) ?? 0) < this.operator.latestAcknowledgedVersion
            ) {
                await sleep(pollInterval);
            }
        }
        for (const entry of this.installation.entries) {
            const address = this.installation.callerAddress(entry);
            while (
                !isTimedOut()
                && (await this.callers.makeCall(address, "once", this.operator.validKey)).outcome !== "served"
            ) {
                await sleep(pollInterval);
            }
        }
        if (isTimedOut()) {
            this.findings.add("service recovers", `not within ${limit ?? 0} ms`);
        }
        return performance.now() - waitStartedAt;
    }

    /** Waits until a control process whose data folder was deleted has recovered, or until a timeout. */
    private async waitUntilCaughtUp(control: SoakVm): Promise<void> {
        const deadline = performance.now() + catchUpTimeout;
        while (await this.operator.fetchVersion(control) === undefined && performance.now() < deadline) {
            await sleep(pollInterval);
        }
        // The group promotes the new member to a voter once its copy is durable.
        await sleep(recoveryTimeBound / 3);
    }

    /** Abandons calls at entries that are suspended; they must not reach an endpoint when the entries resume. */
    private async abandonCallsAtSuspendedEntries(): Promise<void> {
        const { entries, callTracker } = this.installation;
        const ids: string[] = [];
        for (const entry of entries) {
            entry.pause();
            for (let call = 0; call < abandonedCallCount; call++) {
                await this.callers.abandonCall(entry, "repeatable", this.operator.validKey).then(
                    id => ids.push(id),
                    (error: unknown) => {
                        this.findings.add(
                            "entries accept connections after the faults",
                            `entry ${entry.vmNumber}: ${String(error)}`,
                        );
                    },
                );
            }
            entry.resume();
        }
        await this.waitUntilServing(undefined);
        for (const id of ids.filter(each => callTracker.wasExecuted(each))) {
            this.findings.add("calls of callers that left are not executed", id);
        }
    }

    /** Stops processes in series without other faults, and checks what became of the calls. */
    private async stopProcessesInSeries(): Promise<void> {
        await sleep(quietPeriod);
        const random = new RandomSource(this.options.seed + 7);
        const plannedStops = new PlannedStops(this.installation, this.callers, this.findings, random, text => {
            this.faultLog.push(`${this.formatElapsedTime()} ${text}`);
        });
        await plannedStops.run(this.options.stopRounds);
        plannedStops.check();
    }

    /** Makes one endpoint after the other slower for some time. */
    private async changeDurations(): Promise<void> {
        const random = new RandomSource(this.options.seed + 8);
        while (!this.stopping.signal.aborted) {
            const endpoint = random.pick(this.installation.endpoints);
            endpoint?.setDurationFactor(1 + random.float() * maximumDurationFactor);
            await sleep(slowerPeriod);
            endpoint?.setDurationFactor(1);
        }
    }

    /** Submits configuration changes until the run ends. */
    private async submitChanges(): Promise<void> {
        const { signal } = this.stopping;
        while (!signal.aborted) {
            await sleep(configurationChangeInterval);
            await this.operator.replaceConfiguration(signal);
        }
    }

    /** Polls the configuration versions of random processes until the run ends. */
    private async pollVersions(): Promise<void> {
        const random = new RandomSource(this.options.seed + 4);
        while (!this.stopping.signal.aborted) {
            const control = random.pick(this.installation.controls);
            const entry = random.pick(this.installation.entries);
            if (control !== undefined && entry !== undefined) {
                await Promise.all([this.operator.fetchVersion(control), this.operator.probeEntryVersion(entry)]);
            }
            await sleep(pollInterval);
        }
    }

    private logFault(kind: FaultKind): void {
        this.faultLog.push(`${this.formatElapsedTime()} ${kind}`);
    }

    /** Formats the time since the start in seconds. */
    private formatElapsedTime(): string {
        return ((performance.now() - this.startedAt) / 1_000).toFixed(2);
    }
}

function countOccurrences(values: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    values.forEach(value => counts.set(value, (counts.get(value) ?? 0) + 1));
    return counts;
}
