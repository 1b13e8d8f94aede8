import { z } from "zod";
import type { Result } from "../../util/result.js";
import type { StandInCall } from "../standInCall.js";
import type { Platform } from "./platform.js";
import { vmSchema } from "./vm.js";

const reclaimSchema = z.strictObject({ failureDomain: z.string(), noticeMilliseconds: z.int().min(0) });

const capacitySchema = z.strictObject({
    failureDomain: z.string(),
    steadyCapacity: z.int().min(0).optional(),
    cheapCapacity: z.int().min(0).optional(),
});

/**
 * Handles a control call that is specific to the platform; false when the name is unknown.
 *
 * - `POST /stand-in/reclaim` `{failureDomain, noticeMilliseconds}`: reclaims the cheap VMs of a failure domain.
 * - `POST /stand-in/capacity` `{failureDomain, steadyCapacity?, cheapCapacity?}`: changes the capacity.
 * - `POST /stand-in/vms`: adds a VM that others started to the list, or changes its entry.
 */
export function handlePlatformControl(name: string, call: StandInCall, platform: Platform): boolean {
    switch (name) {
        case "POST reclaim":
            applyChange(call, call.parseBody(reclaimSchema), change => {
                void platform.fleet.reclaim(change.failureDomain, change.noticeMilliseconds);
                return true;
            });
            return true;
        case "POST capacity":
            applyChange(
                call,
                call.parseBody(capacitySchema),
                ({ failureDomain, ...change }) => platform.changeCapacity(failureDomain, change),
            );
            return true;
        case "POST vms":
            applyChange(call, call.parseBody(vmSchema), vm => {
                platform.fleet.put(vm);
                return true;
            });
            return true;
        default:
            return false;
    }
}

/** Applies a change and responds with 204, or with 400 when the body is invalid or the failure domain is unknown. */
function applyChange<Change>(
    call: StandInCall,
    change: Result<Change, string>,
    apply: (change: Change) => boolean,
): void {
    if (change.err) {
        call.respondWithError(400, change.val);
    }
    else if (apply(change.val)) {
        call.respondIgnoringFaults(204);
    }
    else {
        call.respondWithError(400, "unknown failure domain");
    }
}
