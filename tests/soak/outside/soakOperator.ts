import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { ResultCode } from "../../../src/resultCode/resultCode.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { numbersFrom } from "../numbersFrom.js";
import type { SoakInstallation } from "../soakInstallation.js";
import type { SoakVm } from "../soakVm.js";
import type { Findings } from "./callLedger.js";
import { callPaths } from "./soakCallers.js";

/** Longest wait for an acknowledgement before the operator turns to another control process. */
const patience: Milliseconds = 1_000;

/** Time after an acknowledgement from which no process may give an older configuration back. */
const applyTime: Milliseconds = 2_000;

/** Keys that are in force at a time. */
const keyCount = 3;

/** Withdrawn keys that callers go on to use. */
const usedWithdrawnKeys = 2;

/** Code with which an entry refuses a call whose route it knows and whose service has no endpoints. */
const routeKnownCode: ResultCode = "noEndpointAvailable";

/** Status of an acknowledgement. */
const acknowledged = 200;

/** Service of each kind of call. */
const serviceOf = { once: "desk", repeatable: "desk", stream: "engines", resumableStream: "engines" } as const;

/** Route kinds as the platform names them. */
const routeKinds = { once: "unsafe", repeatable: "safe", stream: "streaming", resumableStream: "streaming" } as const;

/** Submits configurations, withdraws keys, and reads back what is in force. */
export class SoakOperator {
    private keys: readonly string[] = numbersFrom(0, keyCount).map(index => `key-${index}`);
    private withdrawn: readonly string[] = [];
    private version = 0;
    private acknowledgedVersion = 0;
    private acknowledgedAt: Milliseconds = Infinity;
    /** Highest version that each start of an entry has shown. */
    private readonly shown = new Map<string, number>();

    constructor(
        private readonly installation: SoakInstallation,
        private readonly random: RandomSource,
        private readonly findings: Findings,
    ) {}

    /** The newest version that was acknowledged. */
    get acknowledged(): number {
        return this.acknowledgedVersion;
    }

    /** Keys that callers use. */
    get usedKeys(): readonly string[] {
        return [...this.keys, ...this.withdrawn];
    }

    /** A key that is in force. */
    get validKey(): string {
        return this.keys.at(-1) ?? "";
    }

    /** Submits a new version that exchanges one key, again and again until it is acknowledged or the signal ends it. */
    async change(signal: AbortSignal): Promise<void> {
        this.version += this.random.integer(1, 3);
        const [oldest = "", ...kept] = this.keys;
        const keys = this.version <= 3 ? this.keys : [...kept, `key-v${this.version}`];
        const document = JSON.stringify(documentOf(this.version, keys));
        while (!signal.aborted) {
            if (await this.submit(document) === acknowledged) {
                this.noteAcknowledged(keys, oldest);
                return;
            }
            await sleep(100);
        }
    }

    /** Reads the configuration back from a control process; undefined where it is not sure. */
    async fetchVersion(control: SoakVm): Promise<number | undefined> {
        const sentAt = performance.now();
        const { acknowledgedVersion, acknowledgedAt } = this;
        const answer = await httpCall({
            address: this.installation.operatorAddress(control),
            method: "GET",
            path: "/v1/configuration/fetch",
            timeout: patience,
        });
        if (answer.err || answer.val.status !== 200) {
            return undefined;
        }
        const { version } = JSON.parse(answer.val.body.toString()) as { readonly version: number; };
        if (version < acknowledgedVersion && sentAt > acknowledgedAt + applyTime) {
            this.findings.add("never an older configuration", `vm ${control.vm} gives ${version} back`);
        }
        return version;
    }

    /** Asks an entry whether it serves by a version or a later one, which it must not forget while it runs. */
    async probe(entry: SoakVm): Promise<void> {
        const start = `${entry.vm}/${entry.starts}`;
        const known = this.shown.get(start) ?? 0;
        const version = Math.max(known, this.acknowledgedVersion);
        const answer = await httpCall({
            address: this.installation.callerAddress(entry),
            method: "GET",
            path: `/since-${version}/`,
            headers: {
                "host": "calls.example",
                "gullhall-attempt-id": "probe",
                "gullhall-deadline-remaining": patience,
            },
            timeout: patience,
        });
        if (answer.err || start !== `${entry.vm}/${entry.starts}`) {
            return;
        }
        if (answer.val.status === 404 && version <= known) {
            this.findings.add("versions never fall", `entry ${entry.vm} showed ${known} and no longer knows it`);
        }
        if (answer.val.body.includes(routeKnownCode)) {
            this.shown.set(start, Math.max(known, version));
        }
    }

    private noteAcknowledged(keys: readonly string[], oldest: string): void {
        const now = performance.now();
        this.acknowledgedVersion = this.version;
        this.acknowledgedAt = now;
        if (keys !== this.keys) {
            this.keys = keys;
            this.withdrawn = [...this.withdrawn, oldest].slice(-usedWithdrawnKeys);
            this.installation.ledger.noteWithdrawn(oldest, now);
        }
    }

    private async submit(document: string): Promise<number> {
        const control = this.random.pick(this.installation.controls);
        let address = control === undefined ? "" : this.installation.operatorAddress(control);
        for (let hops = 0; hops < 3; hops++) {
            const answer = await httpCall({
                address,
                method: "POST",
                path: "/v1/configuration/replace",
                body: document,
                timeout: patience,
            });
            const { status = 0, headers = {} } = answer.ok ? answer.val : {};
            if (status !== 307) {
                return status;
            }
            address = new URL(headers.location ?? "").host;
        }
        return 0;
    }
}

/** A configuration with one route for each kind of call, and one for each version up to its own. */
function documentOf(version: number, keys: readonly string[]): object {
    const kinds = Object.keys(callPaths) as readonly (keyof typeof callPaths)[];
    const routes = kinds.map(kind => ({
        "name": kind,
        "host": "calls.example",
        "path-prefix": callPaths[kind],
        "kind": routeKinds[kind],
        "timeout-ms": 3_500,
        "target-latency-ms": 500,
        "service": serviceOf[kind],
        "attempts": kind === "repeatable" || kind === "resumableStream" ? 2 : 1,
        "resumable": kind === "resumableStream",
    }));
    const versions = numbersFrom(1, version).map(known => ({
        "name": `since-${known}`,
        "host": "calls.example",
        "path-prefix": `/since-${known}/`,
        "kind": "safe",
        "timeout-ms": 1_000,
        "service": "nobody",
        "public": true,
    }));
    return {
        version,
        routes: [...routes, ...versions],
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
