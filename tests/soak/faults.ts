import "disposablestack/auto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../src/util/clock.js";
import type { RandomSource } from "../../src/util/randomSource.js";
import type { EndpointFault } from "./outside/soakEndpoint.js";
import type { PlatformFault } from "./outside/soakPlatform.js";
import type { DiskCondition } from "./program/faultyDisk.js";
import type { SoakInstallation } from "./soakInstallation.js";
import type { SoakVm } from "./soakVm.js";
import { planStopSeries, playStopSeries } from "./stopSeries.js";

/** Upper bound of the delay that a slow link adds to each chunk. */
const maximumLinkDelay: Milliseconds = 250;

/** Upper bound of the offset of the wall clock in both directions: hours, as on a VM whose clock was set wrong. */
const maximumClockOffset: Milliseconds = 7_200_000;

/** Upper bound of the time between the exit of a process and its next start. */
const maximumDowntime: Milliseconds = 2_500;

const endpointFaults: readonly EndpointFault[] = [
    "noResponse",
    "serverError",
    "noCapacity",
    "connectionReset",
    "truncatedBody",
    "extraResponse",
    "slow",
];
const platformFaults: readonly PlatformFault[] = ["refusing", "silent", "slow"];
const diskConditions: readonly DiskCondition[] = ["slow", "stalled", "full"];

/** Environment in which faults are injected. */
export interface FaultContext {
    readonly installation: SoakInstallation;
    readonly random: RandomSource;
    /** Source of the choices of planned stops, so that the other faults of a seed stay the same. */
    readonly stopRandom: RandomSource;
    /**
     * Resolves once a control process whose data folder was deleted holds the configuration again, or after a timeout.
     */
    readonly waitUntilCaughtUp: (control: SoakVm) => Promise<void>;
}

/** Injects a fault for a duration; resolves once the fault is removed. */
type FaultInjector = (context: FaultContext, duration: Milliseconds) => Promise<void>;

/** Fault injectors by the names that the soak's report gives them. */
export const faults = {
    /** Kills a process and restarts it after a random time. */
    killProcess: async ({ installation, random }) => {
        const vm = pickVm(installation, random);
        await vm.kill();
        await sleep(random.float() * maximumDowntime);
        await vm.start();
    },
    /** Kills all control processes at once and restarts them. */
    killAllControls: async ({ installation: { controls }, random }) => {
        await Promise.all(controls.map(control => control.kill()));
        await sleep(random.float() * maximumDowntime);
        await Promise.all(controls.map(control => control.start()));
    },
    /** Kills all control and entry processes at once and restarts them. */
    killEverything: async ({ installation: { controls, entries }, random }) => {
        const all = [...controls, ...entries];
        await Promise.all(all.map(vm => vm.kill()));
        await sleep(random.float() * maximumDowntime);
        await Promise.all(all.map(vm => vm.start()));
    },
    /** Stops a process, or the entries of its failure domain, once or twice by repeated signals, and restarts it. */
    stopProcess: async ({ installation, random, stopRandom }) => {
        const vm = pickVm(installation, random);
        const isDomain = vm.role === "entry" && stopRandom.float() < 0.4;
        const vms = isDomain ? installation.entriesInDomainOf(vm) : [vm];
        const series = planStopSeries(vms, stopRandom.float() < 0.3 ? 2 : 1, stopRandom);
        await Promise.all(series.map(each => playStopSeries(each, () => undefined)));
    },
    /** Suspends a process for the duration. */
    pauseProcess: async ({ installation, random }, duration) => {
        const vm = pickVm(installation, random);
        vm.pause();
        await sleep(duration);
        vm.resume();
    },
    /** Kills a control process, deletes its data folder and waits until it has recovered. */
    wipeControl: async ({ installation, random, waitUntilCaughtUp }) => {
        const control = random.pick(installation.controls);
        if (control !== undefined && installation.tryBeginDiskLoss()) {
            await control.kill();
            await control.deleteDataFolder();
            await sleep(random.float() * maximumDowntime);
            await control.start();
            await waitUntilCaughtUp(control);
            installation.endDiskLoss();
        }
    },
    /** Partitions random VMs from the others, in one direction or both. */
    partition: async ({ installation, random }, duration) => {
        const selected = pickVmNumbers(installation, random);
        const others = new Set(
            [...installation.controls, ...installation.entries].map(({ vmNumber }) => vmNumber).filter(vmNumber =>
                !selected.has(vmNumber)
            ),
        );
        const isOneWay = random.float() < 0.4;
        using store = new DisposableStack();
        store.use(installation.linkConditions.add({ from: selected, to: others, delay: Infinity }));
        if (!isOneWay) {
            store.use(installation.linkConditions.add({ from: others, to: selected, delay: Infinity }));
        }
        await sleep(duration);
        markDisrupted(installation, selected);
    },
    /** Cuts off all outgoing links of a VM, and mostly its incoming ones too. */
    isolate: async ({ installation, random }, duration) => {
        const isolated = new Set([pickVm(installation, random).vmNumber]);
        using store = new DisposableStack();
        store.use(installation.linkConditions.add({ from: isolated, delay: Infinity }));
        if (random.float() < 0.7) {
            store.use(installation.linkConditions.add({ to: isolated, delay: Infinity }));
        }
        await sleep(duration);
        markDisrupted(installation, isolated);
    },
    /** Delays all incoming links of a VM. */
    delayLinks: async ({ installation, random }, duration) => {
        const receivers = new Set([pickVm(installation, random).vmNumber]);
        const delay = random.float() * maximumLinkDelay;
        const condition = installation.linkConditions.add({ to: receivers, delay });
        await sleep(duration);
        condition[Symbol.dispose]();
        markDisrupted(installation, receivers);
    },
    /** Resets all open connections of a VM. */
    resetConnections: ({ installation, random }) => {
        const { vmNumber } = pickVm(installation, random);
        installation.linkProxies.resetConnections(vmNumber);
        return Promise.resolve();
    },
    /** Discards all further bytes on the open connections of a VM. */
    silenceConnections: ({ installation, random }) => {
        const { vmNumber } = pickVm(installation, random);
        installation.linkProxies.dropData(vmNumber);
        return Promise.resolve();
    },
    /** Stops an endpoint abruptly for the duration. */
    crashEndpoint: async ({ installation, random }, duration) => {
        const endpoint = random.pick(installation.endpoints);
        if (endpoint?.isRunning === true) {
            endpoint.crash();
            await sleep(duration);
            await endpoint.start();
        }
    },
    /** Injects a random fault into an endpoint. */
    harmEndpoint: async ({ installation, random }, duration) => {
        const endpoint = random.pick(installation.endpoints);
        endpoint?.setFault(random.pick(endpointFaults));
        await sleep(duration);
        endpoint?.setFault(undefined);
    },
    /** Injects a random fault into the platform. */
    harmPlatform: async ({ installation: { platform }, random }, duration) => {
        platform.setFault(random.pick(platformFaults));
        await sleep(duration);
        platform.setFault(undefined);
    },
    /** Shifts the wall clock of a VM. */
    stepClock: async ({ installation, random }, duration) => {
        const vm = pickVm(installation, random);
        vm.sendCommand({ kind: "clock", offset: (random.float() - 0.5) * 2 * maximumClockOffset });
        await sleep(duration);
        vm.sendCommand({ kind: "clock", offset: 0 });
    },
    /** Makes the disk of a control process slow, blocking or full. */
    harmDisk: async ({ installation, random }, duration) => {
        const control = random.pick(installation.controls);
        control?.sendCommand({ kind: "disk", condition: random.pick(diskConditions) ?? "sound" });
        await sleep(duration);
        control?.sendCommand({ kind: "disk", condition: "sound" });
    },
    /** Changes the seed control processes in the settings and makes one process reload them. */
    changeSettings: async ({ installation, random }) => {
        installation.firstSeedIndex = random.integer(0, installation.controls.length - 1);
        await pickVm(installation, random).reload();
    },
} satisfies Readonly<Record<string, FaultInjector>>;

/** Name of a fault injector. */
export type FaultKind = keyof typeof faults;

/** Names of all fault injectors, in a fixed sendCommand on which the choices of a seed depend. */
export const faultKinds = Object.keys(faults) as readonly FaultKind[];

function pickVm({ controls, entries }: SoakInstallation, random: RandomSource): SoakVm {
    const vm = random.pick(random.float() < 0.6 ? controls : entries);
    if (vm === undefined) {
        throw new Error("The installation has no VMs.");
    }
    return vm;
}

/** Picks a random subset of the control and entry VMs; returns their numbers. */
function pickVmNumbers({ controls, entries }: SoakInstallation, random: RandomSource): ReadonlySet<number> {
    const picked = [...controls, ...entries].filter(() => random.float() < 0.35).map(({ vmNumber }) => vmNumber);
    return new Set(picked);
}

/** Records that a disruption of the links of the VMs has ended now. */
function markDisrupted({ controls, entries }: SoakInstallation, vmNumbers: ReadonlySet<number>): void {
    const now = performance.now();
    for (const vm of [...controls, ...entries]) {
        if (vmNumbers.has(vm.vmNumber)) {
            vm.lastDisruptedAt = now;
        }
    }
}
