import { Agent, request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { splitAddress } from "../../../src/util/socketAddress.js";
import type { SoakInstallation } from "../soakInstallation.js";
import type { CallKind, Findings } from "./callLedger.js";
import { bodyFault } from "./soakEndpoint.js";

/** Longest time of a call. */
const patience: Milliseconds = 4_000;

/** Time for which callers keep the answer which entries to use. */
const resolutionKept: Milliseconds = 2_000;

/** Mean pause between two calls of a caller. */
const thinkTime: Milliseconds = 60;

/** Share of the calls that the caller leaves early. */
const leavingShare = 0.05;

/** Paths of the kinds of calls. */
export const callPaths: Readonly<Record<CallKind, string>> = {
    once: "/book/",
    repeatable: "/look/",
    stream: "/draft/",
    resumableStream: "/summary/",
};

/** Answers that say that a call has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const kinds = Object.keys(callPaths) as readonly CallKind[];

/** What became of a call. */
export type CallEnd = "served" | "refused" | "failed" | "broken" | "left";

/** A call that has ended. */
export interface EndedCall {
    readonly id: string;
    readonly entry: number;
    readonly sentAt: Milliseconds;
    readonly end: CallEnd;
    readonly detail: string;
}

/** Callers that ask which entries to use, keep their connections open, and check what they get. */
export class SoakCallers implements Disposable {
    readonly ended: EndedCall[] = [];
    private readonly agent = new Agent({ keepAlive: true, timeout: patience * 2 });
    private readonly stopping = new AbortController();
    private addresses: readonly string[] = [];
    private resolvedAt: Milliseconds = -Infinity;
    private nextId = 1;

    /** @param keys Keys that callers use, among them some that were withdrawn lately. */
    constructor(
        private readonly installation: SoakInstallation,
        private readonly random: RandomSource,
        private readonly findings: Findings,
        private readonly keys: () => readonly string[],
    ) {}

    /** Makes calls one after the other until the callers are disposed. */
    async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const kind = this.random.pick(kinds);
            const key = this.random.pick(this.keys());
            const address = await this.chooseAddress();
            if (address !== undefined && kind !== undefined && key !== undefined) {
                await this.call(address, kind, key);
            }
            await sleep(this.random.exponential(thinkTime));
        }
    }

    /** Makes one call and checks its answer. */
    async call(address: string, kind: CallKind, key: string): Promise<EndedCall> {
        const id = `call-${this.nextId++}`;
        const entry = this.installation.entryAt(address)?.vm ?? 0;
        const sentAt = performance.now();
        this.installation.ledger.noteSent({ id, kind, key, sentAt, entry });
        const { end, detail } = await this.exchange(address, kind, key, id);
        const ended = { id, entry, sentAt, end, detail };
        this.ended.push(ended);
        return ended;
    }

    [Symbol.dispose](): void {
        this.stopping.abort();
        this.agent.destroy();
    }

    private exchange(
        address: string,
        kind: CallKind,
        key: string,
        id: string,
    ): Promise<{ readonly end: CallEnd; readonly detail: string; }> {
        const leavesAfter = this.random.float() < leavingShare ? this.random.integer(1, 200) : patience;
        return new Promise(resolve => {
            const outgoing = httpRequest({
                ...splitAddress(address),
                agent: this.agent,
                method: "POST",
                path: `${callPaths[kind]}${id}`,
                headers: {
                    "host": "calls.example",
                    "api-key": key,
                    "gullhall-attempt-id": id,
                    "gullhall-deadline-remaining": patience,
                    "content-length": id.length,
                },
            });
            const timer = setTimeout(() => {
                resolve({ end: "left", detail: `after ${leavesAfter} ms` });
                outgoing.destroy();
            }, leavesAfter);
            outgoing.on("error", error => {
                resolve({ end: "broken", detail: error.message });
            });
            const closed = (): void => {
                resolve({ end: "broken", detail: "the connection was closed" });
            };
            outgoing.once("close", closed);
            outgoing.once("close", () => {
                clearTimeout(timer);
            });
            outgoing.once("response", message => {
                outgoing.removeListener("close", closed);
                void this.judge(message, kind, id).then(resolve);
            });
            outgoing.end(id);
        });
    }

    private async judge(
        message: IncomingMessage,
        kind: CallKind,
        id: string,
    ): Promise<{ readonly end: CallEnd; readonly detail: string; }> {
        const { statusCode = 0, headers } = message;
        const body = await readText(message);
        if (notRunStatuses.has(statusCode)) {
            this.installation.ledger.noteRefused(id);
            return { end: "refused", detail: `${statusCode} ${body ?? ""}` };
        }
        if (body === undefined) {
            return { end: "broken", detail: "the answer broke off" };
        }
        if (statusCode !== 200) {
            return { end: "failed", detail: `${statusCode} ${body}` };
        }
        const isStream = kind === "stream" || kind === "resumableStream";
        const isProven = headers["gullhall-response-signature"] === `proof ${id}`;
        const fault = isProven ? bodyFault(id, isStream, body) : "the proof is missing or another call's";
        if (fault !== undefined) {
            this.findings.add("whole answers", `${id} (${kind}): ${fault}`);
        }
        return { end: "served", detail: "" };
    }

    private async chooseAddress(): Promise<string | undefined> {
        if (performance.now() - this.resolvedAt > resolutionKept) {
            await this.resolve();
        }
        return this.random.pick(this.addresses);
    }

    private async resolve(): Promise<void> {
        const control = this.random.pick(this.installation.controls);
        if (control === undefined) {
            return;
        }
        const answer = await httpCall({
            address: this.installation.operatorAddress(control),
            method: "GET",
            path: "/v1/resolution?name=calls.example&zone=north",
            timeout: 1_000,
        });
        if (answer.ok && answer.val.status === 200) {
            this.addresses = (JSON.parse(answer.val.body.toString()) as { readonly addresses: string[]; }).addresses;
            this.resolvedAt = performance.now();
        }
    }
}

/** The body of an answer; undefined where it broke off. */
async function readText(message: IncomingMessage): Promise<string | undefined> {
    let body = "";
    try {
        for await (const chunk of message.setEncoding("utf8")) {
            body += chunk as string;
        }
    }
    catch {
        return undefined;
    }
    return message.complete ? body : undefined;
}
