import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { allocateFreeAddresses } from "../../src/quickstart/freeAddresses.js";
import type { Milliseconds } from "../../src/util/clock.js";
import type { RandomSource } from "../../src/util/randomSource.js";
import { splitAddress } from "../../src/util/socketAddress.js";
import { LinkConditions } from "./network/linkConditions.js";
import { LinkProxies } from "./network/linkProxies.js";
import { privateAddressOf, publicHost } from "./network/vmHosts.js";
import { numbersFrom } from "./numbersFrom.js";
import { CallLedger, keyWithdrawal } from "./outside/callLedger.js";
import type { Findings } from "./outside/callLedger.js";
import { SoakEndpoint } from "./outside/soakEndpoint.js";
import { dutyTurn, SoakPlatform } from "./outside/soakPlatform.js";
import type { BootSettings, VmRole } from "./soakVm.js";
import { SoakVm } from "./soakVm.js";

/** Numbers of the VMs by what runs there. */
const firstVm = { control: 1, entry: 41, endpoint: 151, platform: 250 } as const;

/** Control processes that the settings name. */
const seedCount = 3;

/** Ports that all VMs use. */
interface Ports {
    readonly operator: number;
    readonly caller: number;
    readonly readiness: number;
    readonly internal: number;
    readonly endpoint: number;
    readonly platform: number;
}

/** How many processes an installation has. */
export interface InstallationSize {
    readonly controls: number;
    readonly entries: number;
    readonly engines: number;
    readonly desks: number;
}

/** An installation of real processes on loopback addresses, behind proxies, with stand-ins for all that is outside. */
export class SoakInstallation implements AsyncDisposable {
    readonly conditions = new LinkConditions();
    readonly proxies = new LinkProxies(this.conditions);
    readonly ledger: CallLedger;
    readonly controls: readonly SoakVm[];
    readonly entries: readonly SoakVm[];
    readonly endpoints: readonly SoakEndpoint[];
    readonly platform: SoakPlatform;
    /** Index of the first control process that the settings name. */
    firstSeed = 0;

    private isDiskLost = false;

    private constructor(
        private readonly network: number,
        private readonly ports: Ports,
        private readonly folder: string,
        size: InstallationSize,
        findings: Findings,
        random: RandomSource,
    ) {
        this.ledger = new CallLedger(findings);
        this.controls = this.makeVms("control", size.controls);
        this.entries = this.makeVms("entry", size.entries);
        this.endpoints = [...Array<string>(size.engines).fill("engines"), ...Array<string>(size.desks).fill("desk")]
            .map((service, index) => {
                const vm = firstVm.endpoint + index;
                const address = `${publicHost(network, vm)}:${ports.endpoint}`;
                return new SoakEndpoint(vm, service, address, this.ledger, findings, random);
            });
        this.platform = new SoakPlatform(this.endpoints, findings, vm => {
            const disturbed = this.controls.find(control => control.vm === vm);
            return performance.now() - (disturbed?.disturbedAt ?? -Infinity);
        });
    }

    /**
     * Starts all processes.
     *
     * @param network Second number of the loopback addresses, unique among soaks that run beside each other.
     */
    static async start(
        network: number,
        folder: string,
        size: InstallationSize,
        findings: Findings,
        random: RandomSource,
    ): Promise<SoakInstallation> {
        const addresses = await allocateFreeAddresses(6);
        const [operator = 0, caller = 0, readiness = 0, internal = 0, endpoint = 0, platform = 0] = addresses
            .map(address => splitAddress(address).port);
        const ports = { operator, caller, readiness, internal, endpoint, platform };
        const installation = new SoakInstallation(network, ports, folder, size, findings, random);
        await installation.startAll();
        return installation;
    }

    /** Address of a control process for operators and for callers that ask which entries to use. */
    operatorAddress(control: SoakVm): string {
        return `${control.host}:${this.ports.operator}`;
    }

    callerAddress(entry: SoakVm): string {
        return `${entry.host}:${this.ports.caller}`;
    }

    /** The entry that an address for callers belongs to. */
    entryAt(address: string): SoakVm | undefined {
        return this.entries.find(entry => this.callerAddress(entry) === address);
    }

    /** Whether a disk may be lost now: one at a time is what the installation bears. */
    claimDiskLoss(): boolean {
        const isFree = !this.isDiskLost;
        this.isDiskLost = true;
        return isFree;
    }

    /** Notes that the disk that was lost holds everything again. */
    releaseDiskLoss(): void {
        this.isDiskLost = false;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const vms = [...this.controls, ...this.entries];
        await Promise.all(vms.map(vm => vm.kill()));
        this.endpoints.forEach(endpoint => {
            endpoint.crash();
        });
        this.platform[Symbol.dispose]();
        this.proxies[Symbol.dispose]();
    }

    private makeVms(role: VmRole, count: number): readonly SoakVm[] {
        return numbersFrom(firstVm[role], count).map(vm => {
            const host = publicHost(this.network, vm);
            const folder = join(this.folder, `${role}-${vm}`);
            return new SoakVm(vm, role, host, folder, isFirst => this.settingsOf(role, vm, host, folder, isFirst));
        });
    }

    private async startAll(): Promise<void> {
        const { platform, internal, operator, caller } = this.ports;
        const platformAddress = `${publicHost(this.network, firstVm.platform)}:${platform}`;
        await this.platform.start(privateAddressOf(platformAddress));
        await this.proxies.open(platformAddress);
        for (const endpoint of this.endpoints) {
            await endpoint.start();
            await this.proxies.open(endpoint.publicAddress);
        }
        for (const { host } of this.controls) {
            for (const port of [operator, internal, internal + 1]) {
                await this.proxies.open(`${host}:${port}`);
            }
        }
        for (const { host } of this.entries) {
            await this.proxies.open(`${host}:${caller}`);
        }
        await mkdir(this.folder, { recursive: true });
        await Promise.all([...this.controls, ...this.entries].map(vm => vm.start(true)));
    }

    private settingsOf(role: VmRole, vm: number, host: string, folder: string, isFirstStart: boolean): BootSettings {
        const { operator, caller, readiness, internal, platform } = this.ports;
        const seeds = numbersFrom(this.firstSeed, seedCount)
            .map(index => this.controls[index % this.controls.length]?.host ?? "");
        return {
            "node": `${role}-${vm}`,
            "ip-address": host,
            "zone": ["north", "south", "west"][vm % 3],
            "listen-addresses": role === "entry"
                ? { frontend: `${host}:${caller}`, readiness: `${host}:${readiness}` }
                : { "control-plane": `${host}:${operator}` },
            "internal-ports": [internal, internal + 10],
            "seeds": seeds.map(seed => `${seed}:${operator}`),
            "bootstrap": isFirstStart,
            "data-directory": role === "control" ? join(folder, "data") : undefined,
            "bounds": { "revocation-ms": keyWithdrawal, "lease-ms": dutyTurn },
            "cloud-api": {
                "address": `${publicHost(this.network, firstVm.platform)}:${platform}`,
                "rate-per-s": 40,
                "duties": ["usage_reporting", "autoscaling"],
            },
        };
    }
}

/** Time within which service is back once all faults are over. */
export const recoveryTime: Milliseconds = 12_000;
