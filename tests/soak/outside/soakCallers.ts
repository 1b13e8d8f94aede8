import { Agent, request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { splitAddress } from "../../../src/util/socketAddress.js";
import { formatRequest, sendAndDisconnect } from "../../connection/leavingCaller.js";
import { privateAddressOf } from "../network/vmHosts.js";
import type { SoakInstallation } from "../soakInstallation.js";
import type { SoakVm } from "../soakVm.js";
import type { CallKind, Findings } from "./callTracker.js";
import { describeBodyMismatch } from "./soakEndpoint.js";

/** Time after which a caller gives up a call, and the deadline that it sends. */
const callTimeout: Milliseconds = 4_000;

/** Time for which callers cache the resolved entry addresses. */
const resolutionCacheTime: Milliseconds = 2_000;

/** Mean pause between two calls of one caller. */
const thinkTime: Milliseconds = 60;

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
    readonly outcome: CallOutcome;
    readonly detail: string;
}

/** Callers that resolve entry addresses, reuse their connections and check the responses. */
export class SoakCallers implements Disposable {
    readonly completedCalls: CompletedCall[] = [];
    private readonly agent = new Agent({ keepAlive: true, timeout: callTimeout * 2 });
    private readonly stopping = new AbortController();
    private addresses: readonly string[] = [];
    private resolvedAt: Milliseconds = -Infinity;
    private nextId = 1;

    /** @param usedKeys Returns the keys that callers use, among them recently withdrawn ones. */
    constructor(
        private readonly installation: SoakInstallation,
        private readonly random: RandomSource,
        private readonly findings: Findings,
        private readonly usedKeys: () => readonly string[],
    ) {}

    /** Makes calls one after the other, as a single caller, until this object is disposed. */
    async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const kind = this.random.pick(callKinds);
            const key = this.random.pick(this.usedKeys());
            const address = await this.chooseAddress();
            if (address !== undefined && kind !== undefined && key !== undefined) {
                await this.makeCall(address, kind, key);
            }
            await sleep(this.random.exponential(thinkTime));
        }
    }

    /** Makes one call and checks its response. */
    async makeCall(address: string, kind: CallKind, key: string): Promise<CompletedCall> {
        const id = `call-${this.nextId++}`;
        const entryVmNumber = this.installation.findEntry(address)?.vmNumber ?? 0;
        const sentAt = performance.now();
        this.installation.callTracker.recordSent({ id, kind, key, sentAt, entryVmNumber });
        const { outcome, detail } = await this.sendRequest(address, kind, key, id);
        const call = { id, entryVmNumber, sentAt, outcome, detail };
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
        this.agent.destroy();
    }

    private sendRequest(
        address: string,
        kind: CallKind,
        key: string,
        id: string,
    ): Promise<{ readonly outcome: CallOutcome; readonly detail: string; }> {
        const abandonAfter = this.random.float() < abandonProbability ? this.random.integer(1, 200) : callTimeout;
        return new Promise(resolve => {
            const request = httpRequest({
                ...splitAddress(address),
                agent: this.agent,
                method: "POST",
                path: `${callPathPrefixes[kind]}${id}`,
                headers: {
                    "host": "calls.example",
                    "api-key": key,
                    "gullhall-attempt-id": id,
                    "gullhall-deadline-remaining": callTimeout,
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
            request.end(id);
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
        const isStream = kind === "stream" || kind === "resumableStream";
        const isSignatureValid = headers["gullhall-response-signature"] === `proof ${id}`;
        const fault = isSignatureValid
            ? describeBodyMismatch(id, isStream, body)
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
        return this.random.pick(this.addresses);
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
