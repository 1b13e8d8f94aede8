import type { Clock } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import type { ActRecord } from "./actRecord.js";

/** The usage reports that the platform received: one body for each window. */
export class UsageReports {
    private readonly bodies = new Map<string, Buffer>();

    constructor(private readonly record: ActRecord, private readonly clock: Clock) {}

    /** The accepted body of each window, as text. */
    get accepted(): Readonly<Record<string, string>> {
        return Object.fromEntries([...this.bodies].map(([window, body]) => [window, body.toString("utf8")]));
    }

    /** Handles `PUT /usage-reports/WINDOW`. */
    put(call: StandInCall, window: string): void {
        const known = this.bodies.get(window);
        const outcome = known === undefined ? "acted" : known.equals(call.body) ? "repeated" : "refused";
        const fencing = call.header("x-fencing-number");
        this.record.add(call, {
            kind: "usageReport",
            id: window,
            fencingNumber: fencing === undefined ? undefined : Number(fencing),
            outcome,
            receivedAt: this.clock.unixNow(),
        });
        if (outcome === "refused") {
            call.refuse(409, `window ${window} was reported with other bytes`);
            return;
        }
        this.bodies.set(window, call.body);
        call.answer(200, { window });
    }
}
