import type { ExecutionContext } from "ava";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { openConnection } from "../../connection/leavingCaller.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";
import { PacedFleet } from "./pacedFleet.js";
import type { PlannedCall, StreamPlan } from "./pacedFleet.js";
import { callForStream } from "./streamCaller.js";
import type { ReceivedStream } from "./streamCaller.js";

/** Time within which the entry must stop, in milliseconds. */
const shutdownTime = 8_000;

const routeTimeout = 20_000;

/** Number of events of the stream that keeps the entry to the end of its shutdown. */
const holdingEventCount = 150;

const endpointCount = 4;

/** Allows a retry for each stream that an endpoint breaks off. */
const retryReserve = 400;

const entryIndex = 101;

/** Time for the heads of calls whose bodies arrive late, in milliseconds. */
const preparationTime = 300;

/** Kind of the route of the calls that are made. */
export type RouteKind = "streaming" | "unsafe";

function documentFor(kind: RouteKind): object {
    return documentOf(3, {
        routes: ["holding", "drafts"].map(name => ({
            name,
            "host": "calls.example",
            "path-prefix": `/${name}/`,
            "kind": name === "holding" ? "streaming" : kind,
            "timeout-ms": routeTimeout,
            "target-latency-ms": 400,
            "attempts": 2,
            "resumable": true,
            "service": "writers",
        })),
        services: [{ "name": "writers", "health-check-path": "/health", "connection-limit": 300 }],
    });
}

/** A call that is made while the entry shuts down. */
export interface ShutdownCall {
    readonly callId: string;
    /** Time after the signal at which the call is sent, in milliseconds. */
    readonly sentAfter: number;
    /** Whether its head is sent before the signal, and only the end of its body at that time. */
    readonly isBodyLate?: boolean;
    /** Time until the caller's deadline; the route's timeout by default. */
    readonly remainingTime?: number;
}

/** What became of a call: a whole answer, a refusal of a call that has not run, or something else. */
export type CallOutcome = "whole" | "refused" | "wrong";

/** What became of a call, as seen by its caller and by the endpoints. */
export interface CallResult {
    readonly outcome: CallOutcome;
    /** What was seen. */
    readonly details: string;
}

/** Streams of several kinds at an entry that is stopped while one long stream keeps it to the end of its shutdown. */
export class StoppingEntry implements AsyncDisposable {
    private constructor(
        private readonly store: DisposableStore,
        private readonly fleet: PacedFleet,
        private readonly installation: HostedInstallation,
        private readonly address: string,
    ) {}

    /**
     * Starts an installation and a further entry, which has taken no call but the one that keeps it.
     *
     * @param network Third octet of the loopback addresses, unique among tests that run concurrently.
     * @param planOf How endpoints respond to the calls.
     */
    static async start(
        network: number,
        planOf: (call: PlannedCall) => StreamPlan,
        kind: RouteKind = "streaming",
    ): Promise<StoppingEntry> {
        const store = new DisposableStore();
        const fleet = store.add(
            new PacedFleet(call => {
                return call.path.startsWith("/holding/") ? { eventCount: holdingEventCount } : planOf(call);
            }),
        );
        await fleet.start(endpointCount);
        const installation = store.add(
            await HostedInstallation.start(network, () => undefined, 0, () => fleet.listRows()),
        );
        installation.shutdownTime = shutdownTime;
        installation.retryReserve = retryReserve;
        await installation.submitUntilAccepted(documentFor(kind));
        const address = await installation.startFurtherEntry(entryIndex);
        return new StoppingEntry(store, fleet, installation, address);
    }

    /** Makes calls beside each other before the shutdown, so that the entry knows their durations. */
    async warmUp(callIds: readonly string[]): Promise<readonly CallResult[]> {
        await this.waitUntilServing();
        return Promise.all(callIds.map(async callId => this.resultOf(callId, await this.call(callId))));
    }

    /** Stops the entry and makes calls on connections that were opened before; resolves once all have ended. */
    async stopDuring(calls: readonly ShutdownCall[]): Promise<readonly CallResult[]> {
        await this.waitUntilServing();
        const held = callForStream(this.address, {
            callId: "held",
            path: "/holding/a",
            remainingTime: routeTimeout,
        });
        const connections = await Promise.all(calls.map(() => openConnection(this.address)));
        while (this.fleet.planOfReceived("held") === undefined) {
            await sleep(50);
        }
        const signalAt = performance.now() + preparationTime;
        const results = calls.map(async (call, index) => {
            const { callId, sentAfter, isBodyLate = false, remainingTime = routeTimeout } = call;
            const moment = sleep(signalAt + sentAfter - performance.now());
            if (!isBodyLate) {
                await moment;
            }
            const received = await callForStream(this.address, {
                callId,
                path: "/drafts/a",
                remainingTime,
                connection: connections[index],
                bodyEnd: isBodyLate ? moment : undefined,
            });
            return this.resultOf(callId, received, sentAfter);
        });
        await sleep(signalAt - performance.now());
        await Promise.all([this.installation.stopEntry(entryIndex), held]);
        return Promise.all(results);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    /** Calls on the route of the holding stream until the entry passes a call on. */
    private async waitUntilServing(): Promise<void> {
        const call = { callId: "first", path: "/holding/a", leaveAfter: 1 };
        while ((await callForStream(this.address, call)).status !== 200) {
            await sleep(50);
        }
    }

    private call(callId: string): Promise<ReceivedStream> {
        return callForStream(this.address, { callId, path: "/drafts/a", remainingTime: routeTimeout });
    }

    private resultOf(callId: string, received: ReceivedStream, sentAfter?: number): CallResult {
        const { events, ...rest } = received;
        const hasRun = this.fleet.planOfReceived(callId) !== undefined;
        const details = JSON.stringify({ sentAfter, hasRun, ...rest, eventCount: events.length });
        return { outcome: this.outcomeOf(callId, received), details };
    }

    private outcomeOf(callId: string, received: ReceivedStream): CallOutcome {
        const { status, code, retryAfter, closesConnection, outcome, events, isComplete } = received;
        const plan = this.fleet.planOfReceived(callId);
        const whole = Array.from(Array(plan?.eventCount ?? 0).keys(), index => String(index + 1));
        if (plan !== undefined && status === 200 && isComplete && events.join() === whole.join()) {
            return "whole";
        }
        const isRefusal = status === 503 && code === "GH1629" && retryAfter !== undefined && closesConnection
            && outcome === "notRun";
        return plan === undefined && isRefusal ? "refused" : "wrong";
    }
}

/** Makes a number of calls at each of several moments after the signal. */
export function callsAt(
    moments: readonly number[],
    callCount: number,
    options: Partial<ShutdownCall> = {},
): readonly ShutdownCall[] {
    return moments.flatMap((sentAfter, moment) => {
        return Array.from(Array(callCount).keys(), index => {
            return { sentAfter, callId: `call-${moment * callCount + index}`, ...options };
        });
    });
}

/** Asserts that each call has one of the expected outcomes. */
export function assertOutcomes(
    t: ExecutionContext,
    results: readonly CallResult[],
    expected: readonly CallOutcome[],
): void {
    const counts = (["whole", "refused", "wrong"] as const).map(kind => {
        return `${results.filter(({ outcome }) => outcome === kind).length} ${kind}`;
    });
    t.log(counts.join(", "));
    t.deepEqual(results.filter(({ outcome }) => !expected.includes(outcome)).map(({ details }) => details), []);
}
