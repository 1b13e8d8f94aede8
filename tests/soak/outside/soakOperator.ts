import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { ResultCode } from "../../../src/resultCode/resultCode.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { integerRange } from "../integerRange.js";
import type { SoakInstallation } from "../soakInstallation.js";
import type { SoakVm } from "../soakVm.js";
import type { Findings } from "./callTracker.js";
import { callPathPrefixes } from "./soakCallers.js";

/** Timeout of a call; afterwards the operator calls a random control process again. */
const callTimeout: Milliseconds = 1_000;

/** Time after an acknowledgement from which no control process may return an older configuration. */
const maximumApplyTime: Milliseconds = 2_000;

/** Number of keys that are valid at the same time. */
const validKeyCount = 3;

/** Number of withdrawn keys that callers continue to use. */
const usedWithdrawnKeyCount = 2;

/** Result code with which an entry refuses a call whose route it knows and whose service has no endpoints. */
const routeKnownCode: ResultCode = "noEndpointAvailable";

/** Status with which a control process acknowledges a configuration. */
const acknowledgedStatus = 200;

/** Services by kind of call. */
const callServices = { once: "desk", repeatable: "desk", stream: "engines", resumableStream: "engines" } as const;

/** Route kinds of the configuration, by kind of call. */
const routeKinds = { once: "unsafe", repeatable: "safe", stream: "streaming", resumableStream: "streaming" } as const;

/** Operator that submits configurations, withdraws keys and checks which versions the processes return. */
export class SoakOperator {
    private validKeys: readonly string[] = integerRange(0, validKeyCount).map(index => `key-${index}`);
    private withdrawnKeys: readonly string[] = [];
    private version = 0;
    private acknowledgedVersion = 0;
    private acknowledgedAt: Milliseconds = Infinity;
    /** Highest version that an entry has been seen to know, by entry process. */
    private readonly highestVersionSeen = new Map<string, number>();

    constructor(
        private readonly installation: SoakInstallation,
        private readonly random: RandomSource,
        private readonly findings: Findings,
    ) {}

    /** The latest version that a control process has acknowledged. */
    get latestAcknowledgedVersion(): number {
        return this.acknowledgedVersion;
    }

    /** Keys that callers use: the valid ones and the latest withdrawn ones. */
    get usedKeys(): readonly string[] {
        return [...this.validKeys, ...this.withdrawnKeys];
    }

    /** The newest valid key. */
    get validKey(): string {
        return this.validKeys.at(-1) ?? "";
    }

    /**
     * Submits a new version, which replaces the oldest key if the version is above 3; retries until it is
     * acknowledged or the signal aborts.
     */
    async replaceConfiguration(signal: AbortSignal): Promise<void> {
        this.version += this.random.integer(1, 3);
        const [oldestKey = "", ...remaining] = this.validKeys;
        const keys = this.version <= 3 ? this.validKeys : [...remaining, `key-v${this.version}`];
        const document = JSON.stringify(createConfiguration(this.version, keys));
        while (!signal.aborted) {
            if (await this.submit(document) === acknowledgedStatus) {
                this.recordAcknowledgement(keys, oldestKey);
                return;
            }
            await sleep(100);
        }
    }

    /** Fetches the configuration version of a control process; undefined if it does not return one. */
    async fetchVersion(control: SoakVm): Promise<number | undefined> {
        const sentAt = performance.now();
        const { acknowledgedVersion, acknowledgedAt } = this;
        const response = await httpCall({
            address: this.installation.operatorAddress(control),
            method: "GET",
            path: "/v1/configuration/fetch",
            timeout: callTimeout,
        });
        if (response.err || response.val.status !== 200) {
            return undefined;
        }
        const { version } = JSON.parse(response.val.body.toString()) as { readonly version: number; };
        if (version < acknowledgedVersion && sentAt > acknowledgedAt + maximumApplyTime) {
            this.findings.add(
                "configuration versions never go back",
                `VM ${control.vmNumber} returns the older version ${version}`,
            );
        }
        return version;
    }

    /**
     * Checks through the route of a version whether an entry knows that version or a later one. A running entry must
     * not return to an older version.
     */
    async probeEntryVersion(entry: SoakVm): Promise<void> {
        const processStart = `${entry.vmNumber}/${entry.startCount}`;
        const highestSeen = this.highestVersionSeen.get(processStart) ?? 0;
        const version = Math.max(highestSeen, this.acknowledgedVersion);
        const response = await httpCall({
            address: this.installation.callerAddress(entry),
            method: "GET",
            path: `/since-${version}/`,
            headers: {
                "host": "calls.example",
                "gullhall-attempt-id": "probe",
                "gullhall-deadline-remaining": callTimeout,
            },
            timeout: callTimeout,
        });
        if (response.err || processStart !== `${entry.vmNumber}/${entry.startCount}`) {
            return;
        }
        if (response.val.status === 404 && version <= highestSeen) {
            this.findings.add(
                "entry versions never go back",
                `entry ${entry.vmNumber} knew version ${highestSeen} and no longer does`,
            );
        }
        if (response.val.body.includes(routeKnownCode)) {
            this.highestVersionSeen.set(processStart, Math.max(highestSeen, version));
        }
    }

    private recordAcknowledgement(keys: readonly string[], withdrawnKey: string): void {
        const now = performance.now();
        this.acknowledgedVersion = this.version;
        this.acknowledgedAt = now;
        if (keys !== this.validKeys) {
            this.validKeys = keys;
            this.withdrawnKeys = [...this.withdrawnKeys, withdrawnKey].slice(-usedWithdrawnKeyCount);
            this.installation.callTracker.recordKeyWithdrawal(withdrawnKey, now);
        }
    }

    private async submit(document: string): Promise<number> {
        const control = this.random.pick(this.installation.controls);
        let address = control === undefined ? "" : this.installation.operatorAddress(control);
        for (let redirects = 0; redirects < 3; redirects++) {
            const response = await httpCall({
                address,
                method: "POST",
                path: "/v1/configuration/replace",
                body: document,
                timeout: callTimeout,
            });
            const { status = 0, headers = {} } = response.ok ? response.val : {};
            if (status !== 307) {
                return status;
            }
            address = new URL(headers.location ?? "").host;
        }
        return 0;
    }
}

/** Creates a configuration with a route for each kind of call and one for each version up to its own. */
function createConfiguration(version: number, keys: readonly string[]): object {
    const kinds = Object.keys(callPathPrefixes) as readonly (keyof typeof callPathPrefixes)[];
    const routes = kinds.map(kind => ({
        "name": kind,
        "host": "calls.example",
        "path-prefix": callPathPrefixes[kind],
        "kind": routeKinds[kind],
        "timeout-ms": routeKinds[kind] === "streaming" ? 12_000 : 3_500,
        "target-latency-ms": 500,
        "service": callServices[kind],
        "attempts": kind === "repeatable" || kind === "resumableStream" ? 2 : 1,
        "resumable": kind === "resumableStream",
    }));
    const versionRoutes = integerRange(1, version).map(knownVersion => ({
        "name": `since-${knownVersion}`,
        "host": "calls.example",
        "path-prefix": `/since-${knownVersion}/`,
        "kind": "safe",
        "timeout-ms": 1_000,
        "service": "nobody",
        "public": true,
    }));
    return {
        version,
        routes: [...routes, ...versionRoutes],
        services: [
            { "name": "engines", "engine": { "slots": 16, "kv-cache-tokens": 100_000 } },
            { name: "desk" },
            { name: "nobody" },
        ],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 1_000_000,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        tenants: [{ name: "clinic", keys }],
    };
}
