import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import type { SoakInstallation } from "../soakInstallation.js";
import type { CallKind, Findings } from "./callTracker.js";
import { callPathPrefixes } from "./soakCallers.js";
import { harmfulPathEnd, harmfulSegment } from "./soakEndpoint.js";

/** Mean time between two harmful calls. */
const meanInterval: Milliseconds = 400;

/** Time from the end of all faults until entries and control processes have been in touch for long enough. */
const connectivityTime: Milliseconds = 3_000;

/** Time for which harmful calls go on after that. */
const checkedTime: Milliseconds = 5_000;

/** Harmful calls of one kind that may reach endpoints once endpoints have crashed under enough of them. */
const acceptedCalls = 3;

/** Kinds of harmful calls, with the number of crashes from which endpoints are owed protection. */
const harmfulKinds = { segment: 5, repeated: 3 } as const;

type HarmfulKind = keyof typeof harmfulKinds;

/** Callers whose calls make endpoints crash: by a segment of their prompts, or one call that comes again and again. */
export class HarmfulCallers {
    private nextId = 1;
    private isStopped = false;

    constructor(
        private readonly installation: SoakInstallation,
        private readonly random: RandomSource,
        private readonly findings: Findings,
        private readonly validKey: () => string,
    ) {}

    /** Makes harmful calls until they are stopped. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            const kind = this.random.pick(Object.keys(harmfulKinds) as readonly HarmfulKind[]);
            if (kind !== undefined) {
                void this.makeCall(kind);
            }
            await sleep(this.random.exponential(meanInterval));
        }
    }

    /** Checks, without other faults, that harmful calls are held back; then stops them. */
    async checkAndStop(): Promise<void> {
        await sleep(connectivityTime);
        const { endpoints } = this.installation;
        const checkedFrom = performance.now();
        await sleep(checkedTime);
        this.isStopped = true;
        for (const [kind, decisiveCrashes] of Object.entries(harmfulKinds)) {
            const arrivals = endpoints.flatMap(({ harmfulArrivals }) =>
                harmfulArrivals.filter(arrival => arrival.kind === kind)
            );
            const earlier = arrivals.filter(({ at }) => at < checkedFrom - connectivityTime).length;
            const late = arrivals.filter(({ at }) => at > checkedFrom).length;
            if (earlier >= decisiveCrashes && late > acceptedCalls) {
                this.findings.add("calls that crash endpoints are held back", `${kind}: ${late} after ${earlier}`);
            }
        }
    }

    private async makeCall(harmfulKind: HarmfulKind): Promise<void> {
        const entry = this.random.pick(this.installation.entries);
        if (entry === undefined) {
            return;
        }
        const id = `harmful-${this.nextId++}`;
        const isSegment = harmfulKind === "segment";
        const kind: CallKind = isSegment ? (this.random.float() < 0.5 ? "stream" : "resumableStream") : "repeatable";
        const key = this.validKey();
        const sentAt = performance.now();
        this.installation.callTracker.recordSent({ id, kind, key, sentAt, entryVmNumber: entry.vmNumber });
        const response = await httpCall({
            address: this.installation.callerAddress(entry),
            method: "POST",
            path: `${callPathPrefixes[kind]}${isSegment ? id : harmfulPathEnd}`,
            headers: {
                "host": "calls.example",
                "api-key": key,
                "gullhall-attempt-id": id,
                "gullhall-deadline-remaining": "4000",
                ...isSegment ? { "gullhall-prompt-prefix": `a1:10,${harmfulSegment}:10,${this.nextId}:5` } : {},
            },
            body: isSegment ? id : "",
            timeout: 4_000,
        });
        if (response.ok && response.val.status === 503) {
            this.installation.callTracker.recordRefusal(id);
        }
    }
}
