import { match } from "ts-pattern";
import { faultSchema } from "./fault.js";
import type { FaultKind } from "./fault.js";
import type { RequestLog } from "./requestLog.js";
import type { StandInCall } from "./standInCall.js";

/** Prefix of the paths that control the stand-in itself; these calls are not logged and not subject to faults. */
export const controlPathPrefix = "/stand-in/";

/** The parts of a stand-in that control calls access, apart from its faults. */
export interface ControlTarget {
    readonly requestLog: RequestLog;
    /** Statistics that are specific to the kind of stand-in. */
    figures(): unknown;
    /** Handles a control call that is specific to the kind of stand-in; false when the name is unknown. */
    handleControl(name: string, call: StandInCall): boolean;
}

/**
 * Handles one control call.
 *
 * - `GET /stand-in/faults`: the active faults
 * - `POST /stand-in/faults`: activates one fault
 * - `DELETE /stand-in/faults` or `DELETE /stand-in/faults/KIND`: clears all faults or the fault of one kind
 * - `GET /stand-in/record?after=N`: `{count, requests}`, with the logged requests whose number is greater than N
 * - `GET /stand-in/figures`: statistics that are specific to the kind of stand-in
 */
export function handleControlCall(call: StandInCall, target: ControlTarget): void {
    const name = `${call.method} ${call.path.slice(controlPathPrefix.length).replace(/\/.*/, "")}`;
    match(name)
        .with("GET faults", () => {
            call.respondIgnoringFaults(200, { faults: call.faults.list() });
        })
        .with("POST faults", () => {
            setFault(call);
        })
        .with("DELETE faults", () => {
            const kind = call.path.split("/")[3];
            call.faults.clear(kind as FaultKind | undefined);
            call.respondIgnoringFaults(204);
        })
        .with("GET record", () => {
            const after = Number(call.url.searchParams.get("after") ?? "0");
            call.respondIgnoringFaults(200, {
                count: target.requestLog.count,
                requests: target.requestLog.listAfter(after),
            });
        })
        .with("GET figures", () => {
            call.respondIgnoringFaults(200, target.figures());
        })
        .otherwise(() => {
            if (!target.handleControl(name, call)) {
                call.respondWithError(404, `no control call ${name}`);
            }
        });
}

function setFault(call: StandInCall): void {
    const fault = call.parseBody(faultSchema);
    if (fault.err) {
        call.respondWithError(400, fault.val);
        return;
    }
    const accepted = fault.val;
    // The fault is activated after the response is sent, so that a crash does not cut off this response.
    call.response.once("finish", () => {
        call.faults.set(accepted);
    });
    call.respondIgnoringFaults(204);
}
