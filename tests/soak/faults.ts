import "disposablestack/auto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../src/util/clock.js";
import type { RandomSource } from "../../src/util/randomSource.js";
import type { EndpointFault } from "./outside/soakEndpoint.js";
import type { PlatformFault } from "./outside/soakPlatform.js";
import type { DiskCondition } from "./program/faultyStorage.js";
import type { SoakInstallation } from "./soakInstallation.js";
import type { SoakVm } from "./soakVm.js";

/** Longest delay that a slow link adds to each chunk. */
const longestDelay: Milliseconds = 250;

/** Longest step of a time of day: hours, as a clock that was set wrong. */
const longestStep: Milliseconds = 7_200_000;

/** Longest pause between a process's end and its next start. */
const longestDowntime: Milliseconds = 2_500;

const endpointFaults: readonly EndpointFault[] = ["mute", "failing", "full", "losing", "truncating", "surplus", "slow"];
const platformFaults: readonly PlatformFault[] = ["refusing", "silent", "slow"];
const diskConditions: readonly DiskCondition[] = ["slow", "stalled", "full"];

/** What a fault works on. */
export interface FaultContext {
    readonly installation: SoakInstallation;
    readonly random: RandomSource;
    /** Resolves once a control process with an emptied disk holds the configuration again. */
    readonly caughtUp: (control: SoakVm) => Promise<void>;
}

/** Strikes for a while; resolves when all is as before. */
type Fault = (context: FaultContext, duration: Milliseconds) => Promise<void>;

/** Kinds of faults, by the names that the soak's log gives them. */
export const faults = {
    killProcess: async ({ installation, random }) => {
        const vm = anyVm(installation, random);
        await vm.kill();
        await sleep(random.float() * longestDowntime);
        await vm.start();
    },
    killAllControls: async ({ installation: { controls }, random }) => {
        await Promise.all(controls.map(control => control.kill()));
        await sleep(random.float() * longestDowntime);
        await Promise.all(controls.map(control => control.start()));
    },
    killEverything: async ({ installation: { controls, entries }, random }) => {
        const all = [...controls, ...entries];
        await Promise.all(all.map(vm => vm.kill()));
        await sleep(random.float() * longestDowntime);
        await Promise.all(all.map(vm => vm.start()));
    },
    stopProcess: async ({ installation, random }) => {
        const vm = anyVm(installation, random);
        await vm.stop();
        await sleep(random.float() * longestDowntime / 5);
        await vm.start();
    },
    pauseProcess: async ({ installation, random }, duration) => {
        const vm = anyVm(installation, random);
        vm.pause();
        await sleep(duration);
        vm.resume();
    },
    wipeControl: async ({ installation, random, caughtUp }) => {
        const control = random.pick(installation.controls);
        if (control !== undefined && installation.claimDiskLoss()) {
            await control.kill();
            await control.wipe();
            await sleep(random.float() * longestDowntime);
            await control.start();
            await caughtUp(control);
            installation.releaseDiskLoss();
        }
    },
    partition: async ({ installation, random }, duration) => {
        const some = someVms(installation, random);
        const others = new Set(
            [...installation.controls, ...installation.entries].map(({ vm }) => vm).filter(vm => !some.has(vm)),
        );
        const isOneWay = random.float() < 0.4;
        using store = new DisposableStack();
        store.use(installation.conditions.impose({ from: some, to: others, delay: Infinity }));
        if (!isOneWay) {
            store.use(installation.conditions.impose({ from: others, to: some, delay: Infinity }));
        }
        await sleep(duration);
        markDisturbed(installation, some);
    },
    isolate: async ({ installation, random }, duration) => {
        const some = new Set([anyVm(installation, random).vm]);
        using store = new DisposableStack();
        store.use(installation.conditions.impose({ from: some, delay: Infinity }));
        if (random.float() < 0.7) {
            store.use(installation.conditions.impose({ to: some, delay: Infinity }));
        }
        await sleep(duration);
        markDisturbed(installation, some);
    },
    delayLinks: async ({ installation, random }, duration) => {
        const to = new Set([anyVm(installation, random).vm]);
        const delay = random.float() * longestDelay;
        const condition = installation.conditions.impose({ to, delay });
        await sleep(duration);
        condition[Symbol.dispose]();
        markDisturbed(installation, to);
    },
    resetConnections: ({ installation, random }) => {
        const { vm } = anyVm(installation, random);
        installation.proxies.reset(vm);
        return Promise.resolve();
    },
    silenceConnections: ({ installation, random }) => {
        const { vm } = anyVm(installation, random);
        installation.proxies.silence(vm);
        return Promise.resolve();
    },
    crashEndpoint: async ({ installation, random }, duration) => {
        const endpoint = random.pick(installation.endpoints);
        if (endpoint?.isRunning === true) {
            endpoint.crash();
            await sleep(duration);
            await endpoint.start();
        }
    },
    harmEndpoint: async ({ installation, random }, duration) => {
        const endpoint = random.pick(installation.endpoints);
        endpoint?.suffer(random.pick(endpointFaults));
        await sleep(duration);
        endpoint?.suffer(undefined);
    },
    harmPlatform: async ({ installation: { platform }, random }, duration) => {
        platform.suffer(random.pick(platformFaults));
        await sleep(duration);
        platform.suffer(undefined);
    },
    stepClock: async ({ installation, random }, duration) => {
        const vm = anyVm(installation, random);
        vm.order({ kind: "clock", offset: (random.float() - 0.5) * 2 * longestStep });
        await sleep(duration);
        vm.order({ kind: "clock", offset: 0 });
    },
    harmDisk: async ({ installation, random }, duration) => {
        const control = random.pick(installation.controls);
        control?.order({ kind: "disk", condition: random.pick(diskConditions) ?? "sound" });
        await sleep(duration);
        control?.order({ kind: "disk", condition: "sound" });
    },
    changeSettings: async ({ installation, random }) => {
        installation.firstSeed = random.integer(0, installation.controls.length - 1);
        await anyVm(installation, random).reload();
    },
} satisfies Readonly<Record<string, Fault>>;

/** Name of a kind of fault. */
export type FaultKind = keyof typeof faults;

/** All kinds of faults. */
export const faultKinds = Object.keys(faults) as readonly FaultKind[];

function anyVm({ controls, entries }: SoakInstallation, random: RandomSource): SoakVm {
    const vm = random.pick(random.float() < 0.6 ? controls : entries);
    if (vm === undefined) {
        throw new Error("The installation has no VMs.");
    }
    return vm;
}

/** One VM or a few, of all kinds. */
function someVms({ controls, entries }: SoakInstallation, random: RandomSource): ReadonlySet<number> {
    const some = [...controls, ...entries].filter(() => random.float() < 0.35).map(({ vm }) => vm);
    return new Set(some);
}

function markDisturbed({ controls, entries }: SoakInstallation, vms: ReadonlySet<number>): void {
    const now = performance.now();
    for (const vm of [...controls, ...entries]) {
        if (vms.has(vm.vm)) {
            vm.disturbedAt = now;
        }
    }
}
