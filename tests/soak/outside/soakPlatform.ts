import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../../src/util/clock.js";
import { listen } from "../../../src/util/socketAddress.js";
import type { Findings } from "./callLedger.js";
import type { SoakEndpoint } from "./soakEndpoint.js";

/** What is wrong with the platform. */
export type PlatformFault = "refusing" | "silent" | "slow";

/** Time that each answer of a slow platform takes. */
const slowAnswer: Milliseconds = 700;

/** Shortest time between acts of a holder, another one, and the first again. */
export const dutyTurn: Milliseconds = 3_000;

/** Time after a holder woke or its links healed in which its late calls are excused. */
const wakeSlack: Milliseconds = 300;

interface Act {
    readonly holder: string;
    readonly at: Milliseconds;
}

/** What the platform has seen of one subject of a duty. */
interface Subject {
    highestToken: number;
    readonly holders: Map<number, string>;
    readonly acts: Act[];
}

/** The platform: lists endpoints, takes usage reports and orders, and notes who acts. */
export class SoakPlatform implements Disposable {
    private readonly server: Server;
    private readonly subjects = new Map<string, Subject>();
    private readonly reports = new Map<number, string>();
    private fault: PlatformFault | undefined;

    /** @param disturbedFor Time since the VM of a number was last frozen or cut off; infinite if never. */
    constructor(
        private readonly endpoints: readonly SoakEndpoint[],
        private readonly findings: Findings,
        private readonly disturbedFor: (vm: number) => Milliseconds,
    ) {
        this.server = createServer((request, response) => {
            this.serve(request, response).catch((error: unknown) => {
                findings.add("stand-in", String(error));
            });
        });
    }

    /** Usage windows that were reported. */
    get reportedWindows(): number {
        return this.reports.size;
    }

    async start(address: string): Promise<void> {
        await listen(this.server, address);
    }

    /** Puts a fault in force; undefined ends it. */
    suffer(fault: PlatformFault | undefined): void {
        this.fault = fault;
    }

    [Symbol.dispose](): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await text(request).catch(() => undefined);
        if (body === undefined || this.fault === "silent") {
            return;
        }
        if (this.fault === "refusing") {
            response.writeHead(503).end();
            return;
        }
        if (this.fault === "slow") {
            await sleep(slowAnswer);
        }
        if (request.url?.startsWith("/instances") === true) {
            const instances = this.endpoints.filter(endpoint => endpoint.isRunning).map(endpoint => endpoint.row);
            // Another writer's row, which names no endpoint.
            response.end(JSON.stringify({ instances: [...instances, { state: 7 }], next: undefined }));
            return;
        }
        this.takeAct(request, JSON.parse(body) as Record<string, unknown>);
        response.end("{}");
    }

    private takeAct(request: IncomingMessage, body: Readonly<Record<string, unknown>>): void {
        const now = performance.now();
        const holder = String(request.headers["gullhall-duty-holder"]);
        const token = Number(request.headers["gullhall-fencing-token"]);
        const vm = Number(holder.split("-").at(-1));
        const isUsage = request.url === "/usage";
        const name = isUsage ? "usage" : `scaling ${String(body["service"])} ${String(body["zone"])}`;
        const subject = this.subjects.get(name) ?? { highestToken: 0, holders: new Map<number, string>(), acts: [] };
        this.subjects.set(name, subject);
        this.checkHolder(name, subject, holder, token);
        if (this.disturbedFor(vm) > wakeSlack) {
            this.checkOrder(name, subject, holder, token, now);
        }
        subject.highestToken = Math.max(subject.highestToken, token);
        subject.acts.push({ holder, at: now });
        if (isUsage) {
            this.checkReport(Number(body["window"]), JSON.stringify(body["counts"]));
        }
    }

    private checkHolder(name: string, subject: Subject, holder: string, token: number): void {
        const known = subject.holders.get(token) ?? holder;
        subject.holders.set(token, known);
        if (known !== holder) {
            this.findings.add("one holder", `${name}: ${holder} and ${known} both hold ${token}`);
        }
    }

    private checkOrder(name: string, subject: Subject, holder: string, token: number, now: Milliseconds): void {
        if (token < subject.highestToken) {
            this.findings.add("one holder", `${name}: ${holder} acts with ${token} after ${subject.highestToken}`);
        }
        const lately = subject.acts.filter(act => now - act.at < dutyTurn);
        const lastOther = lately.findLastIndex(act => act.holder !== holder);
        if (lately.slice(0, Math.max(0, lastOther)).some(act => act.holder === holder)) {
            this.findings.add("one holder", `${name}: ${holder} acts again within the turn of another one`);
        }
    }

    private checkReport(window: number, counts: string): void {
        const known = this.reports.get(window) ?? counts;
        this.reports.set(window, known);
        if (known !== counts) {
            this.findings.add("one report a window", `${window}: ${known} and ${counts}`);
        }
    }
}
