import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { httpCall } from "../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../src/connection/httpCall.js";
import { allocateFreeAddresses } from "../../src/quickstart/freeAddresses.js";
import { DisposableStore } from "../../src/util/disposableStore.js";
import { listen, splitAddress } from "../../src/util/socketAddress.js";
import { documentOf } from "../platform/testDocument.js";
import type { CrowdTarget } from "./crowd.js";

/** Flags with which the deploy file starts the programs. */
const nodeFlags = ["--max-old-space-size=160"];

/** Headers of a call that the installation answers. */
export const callHeaders = {
    "host": "calls.example",
    "api-key": "key-1",
    "gullhall-attempt-id": "call-1",
    "gullhall-deadline-remaining": "10000",
} as const;

/** Names of the VMs. */
export type VmName = "control" | "entry";

/** A hosted installation of one control process and one entry, each a program of its own, with stand-ins beside it. */
export class HostedPrograms implements AsyncDisposable {
    /** Raw headers of the calls that the endpoint has received. */
    readonly received: (readonly string[])[] = [];
    private readonly store = new DisposableStore();
    private readonly programs = new Map<VmName, ChildProcess>();
    private ports: readonly number[] = [];

    private constructor(private readonly network: number) {}

    /**
     * Starts the programs; resolves when the entry answers calls.
     *
     * @param network Third octet of the loopback addresses, unique among tests that run concurrently.
     * @param entrySettings Settings of the entry besides those that the platform writes.
     */
    static async start(network: number, entrySettings: object = {}): Promise<HostedPrograms> {
        const installation = new HostedPrograms(network);
        installation.ports = (await allocateFreeAddresses(4)).map(address => splitAddress(address).port);
        const endpointServer = createServer({ maxHeaderSize: 64 * 1024 }, (request, response) => {
            request.resume().once("end", () => {
                installation.received.push(request.rawHeaders);
                response.writeHead(200, {
                    "gullhall-attempt-id": String(request.headers["gullhall-attempt-id"]),
                    "gullhall-response-signature": "proof",
                });
                response.end("answer");
            });
        });
        endpointServer.maxHeadersCount = 0;
        const endpoint = await installation.serve(endpointServer);
        const row = { identifier: "i-1", service: "desk", address: endpoint, zone: "north", slots: 4, state: "ready" };
        const platform = await installation.serve(createServer((request, response) => {
            request.resume();
            response.end(JSON.stringify({ instances: [row] }));
        }));
        await installation.launch("control", platform, {});
        await installation.launch("entry", platform, entrySettings);
        await installation.submitDocument();
        while ((await installation.tryCall())?.status !== 200) {
            await sleep(50);
        }
        installation.received.length = 0;
        return installation;
    }

    /** Address at which the entry takes calls. */
    get callerAddress(): string {
        return `${this.hostOf("entry")}:${this.portOf(1)}`;
    }

    /** Address at which the entry tells whether it is ready. */
    get readinessAddress(): string {
        return `${this.hostOf("entry")}:${this.portOf(2)}`;
    }

    /** Address at which operators reach control. */
    get operatorAddress(): string {
        return `${this.hostOf("control")}:${this.portOf(0)}`;
    }

    /** Address of a program for traffic within the installation. */
    internalAddress(name: VmName, offset: number): string {
        return `${this.hostOf(name)}:${this.portOf(3) + offset}`;
    }

    /** Address at which a program serves its metrics. */
    metricsAddress(name: VmName): string {
        return `${this.hostOf(name)}:9464`;
    }

    /** The entry, at one of its addresses. */
    entryTarget(address: string): CrowdTarget {
        const processId = this.programs.get("entry")?.pid ?? 0;
        return { address, processId, sendOrdinaryRequest: async () => (await this.tryCall())?.status === 200 };
    }

    /** The control process, at one of its addresses. */
    controlTarget(address: string): CrowdTarget {
        const processId = this.programs.get("control")?.pid ?? 0;
        const sendOrdinaryRequest = async (): Promise<boolean> => {
            const path = "/v1/configuration/fetch";
            const result = await httpCall({ address: this.operatorAddress, method: "GET", path, timeout: 10_000 });
            return result.ok && result.val.status === 200;
        };
        return { address, processId, sendOrdinaryRequest };
    }

    /** Sends an ordinary call; undefined if it gets no response. */
    async tryCall(): Promise<HttpCallResponse | undefined> {
        const result = await httpCall({
            address: this.callerAddress,
            method: "POST",
            path: "/bookings/a",
            headers: callHeaders,
            timeout: 10_000,
        });
        return result.ok ? result.val : undefined;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const program of this.programs.values()) {
            if (program.exitCode === null && program.signalCode === null) { // eslint-disable-line no-restricted-syntax -- Node's API
                const ended = once(program, "exit");
                program.kill("SIGKILL");
                await ended;
            }
        }
        await this.store.dispose();
    }

    private async submitDocument(): Promise<void> {
        const document = documentOf(1, {
            routes: [{
                "name": "bookings",
                "host": "calls.example",
                "path-prefix": "/bookings/",
                "kind": "unsafe",
                "timeout-ms": 10_000,
                "service": "desk",
            }],
        });
        for (;;) {
            const result = await httpCall({
                address: this.operatorAddress,
                method: "POST",
                path: "/v1/configuration/replace",
                body: JSON.stringify(document),
                timeout: 2_000,
            });
            if (result.ok && result.val.status === 200) {
                return;
            }
            await sleep(50);
        }
    }

    private async launch(name: VmName, platform: string, changes: object): Promise<void> {
        const folder = await mkdtemp(join(tmpdir(), "gullhall-crowd-"));
        this.store.defer(() => rm(folder, { recursive: true, force: true }));
        const settingsPath = join(folder, "settings.json");
        const internal = this.portOf(3);
        await writeFile(
            settingsPath,
            JSON.stringify({
                "node": name,
                "ip-address": this.hostOf(name),
                "zone": "north",
                "zones": { north: "south" },
                "listen-addresses": name === "entry"
                    ? { frontend: this.callerAddress, readiness: this.readinessAddress }
                    : { "control-plane": this.operatorAddress },
                "internal-ports": [internal, internal + 10],
                "seeds": [this.operatorAddress],
                "bootstrap": true,
                "data-directory": name === "control" ? join(folder, "data") : undefined,
                "fault-tolerance": { machines: 0 },
                "bounds": {},
                "limits": { "memory-mb": 350, "file-descriptors": 4_200 },
                "cloud-api": { address: platform, "rate-per-s": 40 },
                ...changes,
            }),
        );
        const programName = name === "entry" ? "gullhallHostedEntry" : "gullhallHostedControl";
        const path = fileURLToPath(new URL(`../../src/bin/${programName}.js`, import.meta.url));
        const child = spawn(process.execPath, [...nodeFlags, path], {
            env: { ...process.env, GULLHALL_BOOT: settingsPath },
            stdio: "ignore",
        });
        this.programs.set(name, child);
        await once(child, "spawn");
    }

    private async serve(server: Server): Promise<string> {
        this.store.defer(() => {
            server.close();
            server.closeAllConnections();
        });
        return listen(server, "127.0.0.1:0");
    }

    private hostOf(name: VmName): string {
        return `127.0.${this.network}.${name === "control" ? 1 : 101}`;
    }

    private portOf(index: number): number {
        return this.ports[index] ?? 0;
    }
}
