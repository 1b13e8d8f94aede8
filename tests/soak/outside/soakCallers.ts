import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { ResultCode } from "../../../src/resultCode/resultCode.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { splitAddress } from "../../../src/util/socketAddress.js";
import { formatRequest, sendAndDisconnect } from "../../connection/leavingCaller.js";
import { privateAddressOf } from "../network/vmHosts.js";
import type { SoakInstallation } from "../soakInstallation.js";
import type { SoakVm } from "../soakVm.js";
import type { CallKind, Findings } from "./callTracker.js";
import { KeptConnections } from "./keptConnections.js";
import { describeBodyMismatch, streamTimesQuery } from "./soakEndpoint.js";

/** Time after which a caller gives up a call, and the deadline that it sends. */
const callTimeout: Milliseconds = 4_000;

/** The same for calls that take long by themselves. */
const longCallTimeout: Milliseconds = 12_000;

/** Time for which callers cache the resolved entry addresses. */
const resolutionCacheTime: Milliseconds = 2_000;

/** Mean pause between two calls of one caller. */
const thinkTime: Milliseconds = 60;

/** Mean pause between two calls of a caller that stays with an entry as long as it holds open connections to it. */
const stayingThinkTime: Milliseconds = 150;

/** Share of the streams that take long. */
const longStreamProbability = 0.08;

/** Bounds of the duration of a long stream. */
const longStreamDurations = [3_000, 6_000] as const;

/** Share of the calls whose body is sent slowly. */
const slowBodyProbability = 0.04;

/** Longest time that a slow body takes. */
const maximumBodyTime: Milliseconds = 2_500;

/** Share of the calls that the caller abandons early. */
const abandonProbability = 0.05;

/** Path prefixes of the routes, by kind of call. */
export const callPathPrefixes: Readonly<Record<CallKind, string>> = {
    once: "/book/",
    repeatable: "/look/",
    stream: "/draft/",
    resumableStream: "/summary/",
};

/** Statuses that state that a call was not executed and never will be. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Code of the refusals of an entry that stops. */
const stoppingCode: ResultCode = "entryStopping";

const callKinds = Object.keys(callPathPrefixes) as readonly CallKind[];

/**
 * Outcome of a call.
 *
 * - `served`: status 200 with a complete body.
 * - `refused`: a status that states that the call was not executed.
 * - `failed`: any other status.
 * - `broken`: the connection or the response ended early.
 * - `left`: the caller abandoned the call.
 */
export type CallOutcome = "served" | "refused" | "failed" | "broken" | "left";

/** A call that is over. */
export interface CompletedCall {
    readonly id: string;
    readonly entryVmNumber: number;
    readonly sentAt: Milliseconds;
    readonly endedAt: Milliseconds;
    readonly outcome: CallOutcome;
    readonly detail: string;
}

/** How a call is sent. */
interface CallShape {
    /** Query that makes a stream take long. */
    readonly query: string;
    /** Time that the body takes. */
    readonly bodyTime: Milliseconds;
    /** Time after which the caller gives up the call, and the deadline that it sends. */
    readonly timeout: Milliseconds;
}

/** Callers that resolve entry addresses, reuse their connections and check the responses. */
export class SoakCallers implements Disposable {
    readonly completedCalls: CompletedCall[] = [];
    /** Times at which an entry that stops refused a call and no other entry took it. */
    readonly unplacedCallTimes: Milliseconds[] = [];
    /** Keyed by the address of the entry. */
    private readonly connections = new Map<string, KeptConnections>();
    private readonly stopping = new AbortController();
    private addresses: readonly string[] = [];
    private resolvedAt: Milliseconds = -Infinity;
    private nextId = 1;

    /** @param usedKeys Returns the keys that callers use: the valid ones, oldest first, then recently withdrawn ones. */
    constructor(
        private readonly installation: SoakInstallation,
        private readonly random: RandomSource,
        private readonly findings: Findings,
        private readonly usedKeys: () => readonly string[],
    ) {}

    /**
     * Makes calls one after the other, as a single caller, until this object is disposed.
     *
     * @param stays Whether the caller uses a valid key, and an entry as long as connections to it are open.
     */
    async run(stays: boolean): Promise<void> {
        let address: string | undefined;
        while (!this.stopping.signal.aborted) {
            const kind = this.random.pick(callKinds);
            const key = stays ? this.usedKeys()[1] : this.random.pick(this.usedKeys());
            if (!stays || address === undefined || !this.connectionsTo(address).isOpen) {
                address = await this.chooseAddress();
            }
            if (address !== undefined && kind !== undefined && key !== undefined) {
                const call = await this.makeCall(address, kind, key);
                if (isRefusedByStop(call)) {
                    await this.callOtherEntries(address, kind, key);
                }
            }
            await sleep(this.random.exponential(stays ? stayingThinkTime : thinkTime));
        }
    }

    /** Makes a call at the entries that are known now, one after the other, until one takes it. */
    private async callOtherEntries(refusedBy: string, kind: CallKind, key: string): Promise<void> {
        this.resolvedAt = -Infinity;
        for (const tried = [refusedBy]; !this.stopping.signal.aborted;) {
            await this.chooseAddress();
            const address = this.random.pick(this.addresses.filter(known => !tried.includes(known)));
            if (address === undefined) {
                this.unplacedCallTimes.push(performance.now());
                return;
            }
            const call = await this.makeCall(address, kind, key);
            if (call.outcome !== "broken" && !isRefusedByStop(call)) {
                return;
            }
            tried.push(address);
        }
    }

    /** Makes one call and checks its response. */
    async makeCall(address: string, kind: CallKind, key: string): Promise<CompletedCall> {
        const id = `call-${this.nextId++}`;
        const entryVmNumber = this.installation.findEntry(address)?.vmNumber ?? 0;
        const sentAt = performance.now();
        this.installation.callTracker.recordSent({ id, kind, key, sentAt, entryVmNumber });
        const { outcome, detail } = await this.sendRequest(address, kind, key, id, this.chooseShape(kind));
        const call = { id, entryVmNumber, sentAt, endedAt: performance.now(), outcome, detail };
        this.completedCalls.push(call);
        return call;
    }

    /** Sends a call to an entry, not through its proxy, and ends the connection at once; returns the call's id. */
    async abandonCall(entry: SoakVm, kind: CallKind, key: string): Promise<string> {
        const id = `call-${this.nextId++}`;
        const { vmNumber: entryVmNumber } = entry;
        this.installation.callTracker.recordSent({ id, kind, key, sentAt: performance.now(), entryVmNumber });
        const headers = { "host": "calls.example", "api-key": key, "gullhall-attempt-id": id };
        const address = privateAddressOf(this.installation.callerAddress(entry));
        await sendAndDisconnect(address, formatRequest("POST", `${callPathPrefixes[kind]}${id}`, headers, id), "end");
        return id;
    }

    [Symbol.dispose](): void {
        this.stopping.abort();
        this.connections.forEach(connections => {
            connections.destroy();
        });
    }

    private connectionsTo(address: string): KeptConnections {
        const connections = this.connections.get(address) ?? new KeptConnections(address);
        this.connections.set(address, connections);
        return connections;
    }

    private chooseShape(kind: CallKind): CallShape {
        const { random } = this;
        const isLong = isStreamKind(kind) && random.float() < longStreamProbability;
        // Silence of an endpoint makes entries resume a resumable stream elsewhere.
        const isSilent = kind === "stream" && random.float() < 0.5;
        const isBodySlow = random.float() < slowBodyProbability;
        return {
            query: isLong ? streamTimesQuery(random.integer(...longStreamDurations), isSilent) : "",
            bodyTime: isBodySlow ? random.float() * maximumBodyTime : 0,
            timeout: isLong || isBodySlow ? longCallTimeout : callTimeout,
        };
    }

    private sendRequest(
        address: string,
        kind: CallKind,
        key: string,
        id: string,
        { query, bodyTime, timeout }: CallShape,
    ): Promise<{ readonly outcome: CallOutcome; readonly detail: string; }> {
        const abandonAfter = this.random.float() < abandonProbability ? this.random.integer(1, 200) : timeout;
        return new Promise(resolve => {
            const request = httpRequest({
                ...splitAddress(address),
                agent: this.connectionsTo(address),
                method: "POST",
                path: `${callPathPrefixes[kind]}${id}${query}`,
                headers: {
                    "host": "calls.example",
                    "api-key": key,
                    "gullhall-attempt-id": id,
                    "gullhall-deadline-remaining": timeout,
                    "content-length": id.length,
                },
            });
            const timer = setTimeout(() => {
                resolve({ outcome: "left", detail: `after ${abandonAfter} ms` });
                request.destroy();
            }, abandonAfter);
            request.on("error", error => {
                resolve({ outcome: "broken", detail: error.message });
            });
            const onEarlyClose = (): void => {
                resolve({ outcome: "broken", detail: "the connection was closed" });
            };
            request.once("close", onEarlyClose);
            request.once("close", () => {
                clearTimeout(timer);
            });
            request.once("response", response => {
                request.removeListener("close", onEarlyClose);
                void this.checkResponse(response, kind, id).then(resolve);
            });
            if (bodyTime === 0) {
                request.end(id);
                return;
            }
            request.write(id.slice(0, 1));
            setTimeout(() => request.end(id.slice(1)), bodyTime);
        });
    }

    private async checkResponse(
        response: IncomingMessage,
        kind: CallKind,
        id: string,
    ): Promise<{ readonly outcome: CallOutcome; readonly detail: string; }> {
        const { statusCode = 0, headers } = response;
        const body = await readBody(response);
        if (notExecutedStatuses.has(statusCode)) {
            this.installation.callTracker.recordRefusal(id);
            return { outcome: "refused", detail: `${statusCode} ${body ?? ""}` };
        }
        if (body === undefined) {
            return { outcome: "broken", detail: "the response ended early" };
        }
        if (statusCode !== 200) {
            return { outcome: "failed", detail: `${statusCode} ${body}` };
        }
        const isSignatureValid = headers["gullhall-response-signature"] === `proof ${id}`;
        const fault = isSignatureValid
            ? describeBodyMismatch(id, isStreamKind(kind), body)
            : "the signature is missing or belongs to another call";
        if (fault !== undefined) {
            this.findings.add("complete responses", `${id} (${kind}): ${fault}`);
        }
        return { outcome: "served", detail: "" };
    }

    private async chooseAddress(): Promise<string | undefined> {
        if (performance.now() - this.resolvedAt > resolutionCacheTime) {
            await this.refreshAddresses();
        }
        const address = this.random.pick(this.addresses);
        if (address !== undefined) {
            this.connectionsTo(address).openAhead();
        }
        return address;
    }

    private async refreshAddresses(): Promise<void> {
        const control = this.random.pick(this.installation.controls);
        if (control === undefined) {
            return;
        }
        const response = await httpCall({
            address: this.installation.operatorAddress(control),
            method: "GET",
            path: "/v1/resolution?name=calls.example&zone=north",
            timeout: 1_000,
        });
        if (response.ok && response.val.status === 200) {
            this.addresses = (JSON.parse(response.val.body.toString()) as { readonly addresses: string[]; }).addresses;
            this.resolvedAt = performance.now();
        }
    }
}

function isStreamKind(kind: CallKind): boolean {
    return kind === "stream" || kind === "resumableStream";
}

/** Whether an entry refused a call because it stops. */
function isRefusedByStop({ outcome, detail }: CompletedCall): boolean {
    return outcome === "refused" && detail.includes(stoppingCode);
}

/** Reads the body of a response; undefined if it ended early. */
async function readBody(response: IncomingMessage): Promise<string | undefined> {
    let body = "";
    try {
        for await (const chunk of response.setEncoding("utf8")) {
            body += chunk as string;
        }
    }
    catch {
        return undefined;
    }
    return response.complete ? body : undefined;
}
