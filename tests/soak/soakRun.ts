import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../src/util/clock.js";
import { RandomSource } from "../../src/util/randomSource.js";
import { faultKinds, faults } from "./faults.js";
import type { FaultContext, FaultKind } from "./faults.js";
import { Findings } from "./outside/callLedger.js";
import { SoakCallers } from "./outside/soakCallers.js";
import { SoakOperator } from "./outside/soakOperator.js";
import type { InstallationSize } from "./soakInstallation.js";
import { recoveryTime, SoakInstallation } from "./soakInstallation.js";
import type { SoakVm } from "./soakVm.js";

/** Mean pause between the beginnings of two faults. */
const faultPause: Milliseconds = 900;

/** Longest duration of a fault. */
const longestFault: Milliseconds = 5_000;

/** Time between two looks at the installation. */
const lookInterval: Milliseconds = 100;

/** Pause between two changes of the configuration. */
const changePause: Milliseconds = 800;

/** Time of calm before planned stops, so that their effect alone is seen. */
const calmTime: Milliseconds = 4_000;

/** Pause between two planned stops. */
const stopPause: Milliseconds = 1_500;

/** Longest wait for a control process with an emptied disk; other faults may hold it up, the check at the end tells. */
const longestCatchUp: Milliseconds = 20_000;

/** What a soak does. */
export interface SoakOptions {
    readonly seed: number;
    /** Second number of the loopback addresses, unique among soaks that run beside each other. */
    readonly network: number;
    /** Folder for settings, logs and disks. */
    readonly folder: string;
    readonly size: InstallationSize;
    /** Callers that make calls beside each other. */
    readonly callers: number;
    /** How long faults begin. */
    readonly faultTime: Milliseconds;
    /** Longest time until service is back after all faults; undefined waits for ever. */
    readonly recoveryLimit: Milliseconds | undefined;
}

/** What a soak has seen. */
export interface SoakReport {
    readonly findings: readonly string[];
    /** Faults in the order of their beginnings. */
    readonly faults: readonly string[];
    readonly calls: Readonly<Record<string, number>>;
    readonly recovery: Milliseconds;
    readonly acknowledgedVersion: number;
    readonly reportedWindows: number;
}

/** Plays one seed: faults under load, recovery, then planned stops, which may cut no call. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const startedAt = performance.now();
    const findings = new Findings(startedAt);
    const random = new RandomSource(options.seed);
    const endpointRandom = new RandomSource(options.seed + 1);
    const { network, folder, size } = options;
    await using installation = await SoakInstallation.start(network, folder, size, findings, endpointRandom);
    const run = new SoakRun(options, installation, findings, random, startedAt);
    return await run.play();
}

class SoakRun {
    private readonly begun: string[] = [];
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

    async play(): Promise<SoakReport> {
        const { signal } = this.stopping;
        await this.operator.change(signal);
        await this.servingAgain(undefined);
        using callers = this.callers;
        const tasks = [this.changeAlways(), this.lookAlways()];
        for (let caller = 0; caller < this.options.callers; caller++) {
            tasks.push(callers.run());
        }
        await this.strike();
        const recovery = await this.servingAgain(this.options.recoveryLimit);
        await this.stopInTurn();
        this.stopping.abort();
        callers[Symbol.dispose]();
        await Promise.all(tasks);
        return {
            findings: this.findings.all,
            faults: this.begun,
            calls: Object.fromEntries(countBy(callers.ended.map(({ end }) => end))),
            recovery: Math.round(recovery),
            acknowledgedVersion: this.operator.acknowledged,
            reportedWindows: this.installation.platform.reportedWindows,
        };
    }

    /** Begins faults at random, so that they overlap, and waits until all are over. */
    private async strike(): Promise<void> {
        const { random } = this;
        const context: FaultContext = {
            installation: this.installation,
            random,
            caughtUp: control => this.caughtUp(control),
        };
        const endsAt = performance.now() + this.options.faultTime;
        const running: Promise<void>[] = [];
        while (performance.now() < endsAt) {
            const kind = random.pick(faultKinds);
            const duration = random.float() * longestFault;
            if (kind !== undefined) {
                this.noteFault(kind);
                running.push(faults[kind](context, duration));
            }
            await sleep(random.exponential(faultPause));
        }
        await Promise.all(running);
        await this.mendAll();
    }

    /** Sets right what faults that overlapped may have left behind. */
    private async mendAll(): Promise<void> {
        const { controls, entries } = this.installation;
        for (const vm of [...controls, ...entries]) {
            vm.resume();
            await vm.start();
            vm.order({ kind: "clock", offset: 0 });
            vm.order({ kind: "disk", condition: "sound" });
        }
        for (const endpoint of this.installation.endpoints) {
            endpoint.suffer(undefined);
        }
    }

    /** Waits until each control process gives the newest configuration back and each entry serves. */
    private async servingAgain(limit: Milliseconds | undefined): Promise<Milliseconds> {
        const begunAt = performance.now();
        const isOver = (): boolean => performance.now() - begunAt > (limit ?? Infinity);
        for (const control of this.installation.controls) {
            while (!isOver() && (await this.operator.fetchVersion(control) ?? 0) < this.operator.acknowledged) {
                await sleep(lookInterval);
            }
        }
        for (const entry of this.installation.entries) {
            const address = this.installation.callerAddress(entry);
            while (!isOver() && (await this.callers.call(address, "once", this.operator.validKey)).end !== "served") {
                await sleep(lookInterval);
            }
        }
        if (isOver()) {
            this.findings.add("service comes back", `not within ${limit ?? 0} ms`);
        }
        return performance.now() - begunAt;
    }

    private async caughtUp(control: SoakVm): Promise<void> {
        const givenUpAt = performance.now() + longestCatchUp;
        while (await this.operator.fetchVersion(control) === undefined && performance.now() < givenUpAt) {
            await sleep(lookInterval);
        }
        // The group takes the new member as a voter once its copy is durable.
        await sleep(recoveryTime / 3);
    }

    /** Stops two entries and a control process in turn; no call may break that an endpoint had begun to run. */
    private async stopInTurn(): Promise<void> {
        await sleep(calmTime);
        const stopsFrom = performance.now();
        const { entries, controls } = this.installation;
        const first = this.random.integer(0, 1);
        for (const vm of [...entries.slice(first, first + 2), ...controls.slice(first, first + 1)]) {
            this.begun.push(`${this.seconds()} stop of ${vm.role} ${vm.vm}`);
            if (!await vm.stop()) {
                this.findings.add("planned stops end", `${vm.role} ${vm.vm} outlasts its time`);
            }
            await vm.start();
            await sleep(stopPause);
        }
        for (const { id, end, detail, sentAt, entry } of this.callers.ended) {
            if (sentAt > stopsFrom && end === "broken" && this.installation.ledger.hasRun(id)) {
                this.findings.add("planned stops cut nothing", `${id} at entry ${entry}: ${detail}`);
            }
        }
    }

    private async changeAlways(): Promise<void> {
        const { signal } = this.stopping;
        while (!signal.aborted) {
            await sleep(changePause);
            await this.operator.change(signal);
        }
    }

    private async lookAlways(): Promise<void> {
        const random = new RandomSource(this.options.seed + 4);
        while (!this.stopping.signal.aborted) {
            const control = random.pick(this.installation.controls);
            const entry = random.pick(this.installation.entries);
            if (control !== undefined && entry !== undefined) {
                await Promise.all([this.operator.fetchVersion(control), this.operator.probe(entry)]);
            }
            await sleep(lookInterval);
        }
    }

    private noteFault(kind: FaultKind): void {
        this.begun.push(`${this.seconds()} ${kind}`);
    }

    private seconds(): string {
        return ((performance.now() - this.startedAt) / 1_000).toFixed(2);
    }
}

function countBy(names: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    names.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
    return counts;
}
