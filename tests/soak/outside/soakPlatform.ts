import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../../src/util/clock.js";
import { listen } from "../../../src/util/socketAddress.js";
import type { Findings } from "./callTracker.js";
import type { SoakEndpoint } from "./soakEndpoint.js";

/** Fault of the platform: responds with status 503, does not respond, or responds late. */
export type PlatformFault = "refusing" | "silent" | "slow";

/** Delay of each response of a slow platform. */
const slowResponseDelay: Milliseconds = 700;

/**
 * Duration of the lease of a duty. Within it, a duty that has moved from one holder to another cannot move back to the
 * first one.
 */
export const dutyLeaseTime: Milliseconds = 3_000;

/** Time after a holder was resumed or its links were restored in which its late operations are not checked. */
const disruptionGracePeriod: Milliseconds = 300;

/** An operation that the holder of a duty has performed. */
interface Operation {
    readonly holder: string;
    readonly at: Milliseconds;
}

/** Operations that the platform has received for one subject of a duty. */
interface DutySubject {
    highestToken: number;
    readonly holdersByToken: Map<number, string>;
    readonly operations: Operation[];
}

/** Stand-in for the platform: lists endpoints, accepts usage reports and scaling orders, and checks their senders. */
export class SoakPlatform implements Disposable {
    private readonly server: Server;
    private readonly subjects = new Map<string, DutySubject>();
    private readonly usageReports = new Map<number, string>();
    private fault: PlatformFault | undefined;

    /** @param timeSinceDisruption Returns the time since a VM was last paused or partitioned; infinite if never. */
    constructor(
        private readonly endpoints: readonly SoakEndpoint[],
        private readonly findings: Findings,
        private readonly timeSinceDisruption: (vmNumber: number) => Milliseconds,
    ) {
        this.server = createServer((request, response) => {
            this.handleRequest(request, response).catch((error: unknown) => {
                findings.add("stand-in", String(error));
            });
        });
    }

    /** Number of reported usage windows. */
    get reportedWindows(): number {
        return this.usageReports.size;
    }

    async start(address: string): Promise<void> {
        await listen(this.server, address);
    }

    /** Sets the fault of the platform; undefined removes it. */
    setFault(fault: PlatformFault | undefined): void {
        this.fault = fault;
    }

    [Symbol.dispose](): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await text(request).catch(() => undefined);
        if (body === undefined || this.fault === "silent") {
            return;
        }
        if (this.fault === "refusing") {
            response.writeHead(503).end();
            return;
        }
        if (this.fault === "slow") {
            await sleep(slowResponseDelay);
        }
        if (request.url?.startsWith("/instances") === true) {
            const instances = this.endpoints.filter(endpoint => endpoint.isRunning).map(endpoint =>
                endpoint.instanceRecord
            );
            // A malformed record from another writer, which identifies no endpoint.
            response.end(JSON.stringify({ instances: [...instances, { state: 7 }], next: undefined }));
            return;
        }
        this.handleOperation(request, JSON.parse(body) as Record<string, unknown>);
        response.end("{}");
    }

    private handleOperation(request: IncomingMessage, body: Readonly<Record<string, unknown>>): void {
        const now = performance.now();
        const holder = String(request.headers["gullhall-duty-holder"]);
        const token = Number(request.headers["gullhall-fencing-token"]);
        const vmNumber = Number(holder.split("-").at(-1));
        const isUsage = request.url === "/usage";
        const name = isUsage ? "usage" : `scaling ${String(body["service"])} ${String(body["zone"])}`;
        const subject = this.subjects.get(name)
            ?? { highestToken: 0, holdersByToken: new Map<number, string>(), operations: [] };
        this.subjects.set(name, subject);
        this.checkTokenHolder(name, subject, holder, token);
        if (this.timeSinceDisruption(vmNumber) > disruptionGracePeriod) {
            this.checkHolderOrder(name, subject, holder, token, now);
        }
        subject.highestToken = Math.max(subject.highestToken, token);
        subject.operations.push({ holder, at: now });
        if (isUsage) {
            this.checkUsageReport(Number(body["window"]), JSON.stringify(body["counts"]));
        }
    }

    private checkTokenHolder(name: string, subject: DutySubject, holder: string, token: number): void {
        const previous = subject.holdersByToken.get(token) ?? holder;
        subject.holdersByToken.set(token, previous);
        if (previous !== holder) {
            this.findings.add("one holder per duty", `${name}: ${holder} and ${previous} both hold token ${token}`);
        }
    }

    private checkHolderOrder(
        name: string,
        subject: DutySubject,
        holder: string,
        token: number,
        now: Milliseconds,
    ): void {
        if (token < subject.highestToken) {
            this.findings.add(
                "one holder per duty",
                `${name}: ${holder} uses token ${token} after ${subject.highestToken} was used`,
            );
        }
        const recent = subject.operations.filter(operation => now - operation.at < dutyLeaseTime);
        const lastOtherIndex = recent.findLastIndex(operation => operation.holder !== holder);
        if (recent.slice(0, Math.max(0, lastOtherIndex)).some(operation => operation.holder === holder)) {
            this.findings.add(
                "one holder per duty",
                `${name}: ${holder} performs an operation again within the lease of another holder`,
            );
        }
    }

    private checkUsageReport(window: number, counts: string): void {
        const previous = this.usageReports.get(window) ?? counts;
        this.usageReports.set(window, previous);
        if (previous !== counts) {
            this.findings.add("one usage report per window", `window ${window}: ${previous} and ${counts}`);
        }
    }
}
