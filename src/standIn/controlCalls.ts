import { match } from "ts-pattern";
import { faultSchema } from "./fault.js";
import type { FaultKind } from "./fault.js";
import type { RequestRecord } from "./requestRecord.js";
import type { StandInCall } from "./standInCall.js";

/** Paths below this prefix control the stand-in itself; they are neither recorded nor struck by faults. */
export const controlPrefix = "/stand-in/";

/** What control calls reach of a stand-in besides its faults. */
export interface ControlTarget {
    readonly record: RequestRecord;
    /** Figures that the kind of stand-in keeps. */
    figures(): unknown;
    /** Handles a control call that only this kind of stand-in knows; false when it knows none of that name. */
    control(name: string, call: StandInCall): boolean;
}

/**
 * Handles one control call.
 *
 * - `GET /stand-in/faults`, `POST /stand-in/faults` (one fault), `DELETE /stand-in/faults` or `…/faults/KIND`
 * - `GET /stand-in/record?after=N`: `{count, requests}`
 * - `GET /stand-in/figures`: what the kind of stand-in counts
 */
export function handleControlCall(call: StandInCall, target: ControlTarget): void {
    const name = `${call.method} ${call.path.slice(controlPrefix.length).replace(/\/.*/, "")}`;
    match(name)
        .with("GET faults", () => {
            call.answerAlways(200, { faults: call.faults.list() });
        })
        .with("POST faults", () => {
            setFault(call);
        })
        .with("DELETE faults", () => {
            const kind = call.path.split("/")[3];
            call.faults.clear(kind as FaultKind | undefined);
            call.answerAlways(204);
        })
        .with("GET record", () => {
            const after = Number(call.url.searchParams.get("after") ?? "0");
            call.answerAlways(200, { count: target.record.count, requests: target.record.after(after) });
        })
        .with("GET figures", () => {
            call.answerAlways(200, target.figures());
        })
        .otherwise(() => {
            if (!target.control(name, call)) {
                call.refuse(404, `no control call ${name}`);
            }
        });
}

function setFault(call: StandInCall): void {
    const fault = call.json(faultSchema);
    if (fault.err) {
        call.refuse(400, fault.val);
        return;
    }
    const accepted = fault.val;
    call.response.once("finish", () => {
        call.faults.set(accepted);
    });
    call.answerAlways(204);
}
