import type { Clock } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import type { OperationLog } from "./operationLog.js";

/** The usage reports that the platform accepted: one body for each window. */
export class UsageReports {
    private readonly bodies = new Map<string, Buffer>();

    constructor(private readonly operationLog: OperationLog, private readonly clock: Clock) {}

    /** The accepted body of each window, as text. */
    get accepted(): Readonly<Record<string, string>> {
        return Object.fromEntries([...this.bodies].map(([window, body]) => [window, body.toString("utf8")]));
    }

    /** Handles `PUT /usage-reports/WINDOW`. */
    put(call: StandInCall, window: string): void {
        const previousBody = this.bodies.get(window);
        const outcome = previousBody === undefined ? "acted" : previousBody.equals(call.body) ? "repeated" : "refused";
        const fencingNumber = call.header("x-fencing-number");
        this.operationLog.add(call, {
            kind: "usageReport",
            id: window,
            fencingNumber: fencingNumber === undefined ? undefined : Number(fencingNumber),
            outcome,
            receivedAt: this.clock.unixNow(),
        });
        if (outcome === "refused") {
            call.respondWithError(409, `window ${window} was reported with other bytes`);
            return;
        }
        this.bodies.set(window, call.body);
        call.respond(200, { window });
    }
}
