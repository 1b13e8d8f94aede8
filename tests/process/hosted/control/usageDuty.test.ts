import type { EntryHello } from "../../../../src/connection/hosted/linkMessages.js";
import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { EntryRegistry } from "../../../../src/process/hosted/control/entryRegistry.js";
import { HostedState } from "../../../../src/process/hosted/control/hostedState.js";
import { UsageDuty } from "../../../../src/process/hosted/control/usageDuty.js";
import { LeasedCaller } from "../../../../src/process/platform/leasedCaller.js";
import type { CallResponse, LeasedCall } from "../../../../src/process/platform/leasedCaller.js";
import type { Failure } from "../../../../src/resultCode/resultCode.js";
import type { Milliseconds } from "../../../../src/util/clock.js";
import { Ok } from "../../../../src/util/result.js";
import type { Result } from "../../../../src/util/result.js";
import { describe, it } from "../../../describe.js";
import { VirtualClock } from "../../platform/virtualClock.js";
import { VolatileCommandLog } from "../../replicatedLog/volatileCommandLog.js";

const windowLength: Milliseconds = 5_000;

const handoverDelay: Milliseconds = 3_000;

/** Time after the end of a window at which its report is due. */
const dueTime: Milliseconds = 10_000;

/** Records the reports that the platform accepts. */
class ReportRecorder extends LeasedCaller {
    readonly reports = new Map<number, { readonly counts: Readonly<Record<string, number>>; readonly at: number; }>();

    constructor(private readonly clock: VirtualClock) {
        super();
    }

    override call(call: LeasedCall): Promise<Result<CallResponse, Failure>> {
        const body = Buffer.from(call.content({ fencingNumber: 1 }).body ?? []).toString("utf8");
        const { window, counts } = JSON.parse(body) as { window: number; counts: Readonly<Record<string, number>>; };
        this.reports.set(window, { counts, at: this.clock.now() });
        return Promise.resolve(Ok({ status: 200, retryAfter: undefined, body: undefined }));
    }
}

function reportUsage(registry: EntryRegistry, entry: number, usage: Record<string, object>, now: Milliseconds): void {
    const hello: EntryHello = {
        kind: "hello",
        protocol: 2,
        entry: `entry-${entry}`,
        incarnation: "1",
        failureDomain: "north",
        callerAddress: "",
        version: 1,
    };
    registry.recordHeartbeat(hello, {
        kind: "beat",
        number: 1,
        unixTime: now,
        version: 1,
        isReady: true,
        interval: 1_200,
        wantsPermit: false,
        work: {},
        usage: usage as Record<string, Record<string, number>>,
    }, now);
}

describe("UsageDuty", () => {
    for (const entryCount of [7, 30, 191]) {
        // Guards against bills that lack what most entries counted: a new leader knows only the entries linked to it so far.
        it(`reports what ${entryCount} entries tell a new leader after its election`, async t => {
            const clock = new VirtualClock();
            const registry = new EntryRegistry();
            const state = new HostedState(() => undefined);
            const caller = new ReportRecorder(clock);
            const ended = new AbortController();
            // The leader is elected when the window has just settled; a ninth of the entries is linked to it already.
            await clock.runUntil(windowLength + 2_500);
            const earlyEntries = Math.ceil(entryCount / 9);
            for (let entry = 0; entry < earlyEntries; entry++) {
                reportUsage(registry, entry, { 0: { north: 10 } }, clock.now());
            }
            const duty = new UsageDuty({
                holder: "vm-1",
                platformAddress: "10.0.0.9:80",
                windowLength,
                handoverDelay,
                log: new VolatileCommandLog(state),
                state,
                registry,
                caller,
                clock,
                unixNow: () => clock.unixNow(),
                eventLog: new EventLog("vm-1", "hidden"),
            });
            void duty.run(ended.signal);
            for (let entry = earlyEntries; entry < entryCount; entry++) {
                await clock.runUntil(clock.now() + 2_000 / entryCount);
                reportUsage(registry, entry, { 0: { north: 10 } }, clock.now());
            }
            await clock.runUntil(windowLength + dueTime);
            ended.abort();
            t.deepEqual(caller.reports.get(0)?.counts, { north: 10 * entryCount });
            t.true((caller.reports.get(0)?.at ?? Infinity) <= windowLength + dueTime);
        });
    }
});
