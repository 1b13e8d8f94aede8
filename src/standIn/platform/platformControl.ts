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
 * Handles a control call that only the platform knows; false when there is none of that name.
 *
 * - `POST /stand-in/reclaim` `{failureDomain, noticeMilliseconds}`: takes back the cheap VMs of a failure domain.
 * - `POST /stand-in/capacity` `{failureDomain, steadyCapacity?, cheapCapacity?}`: changes what is on offer.
 * - `POST /stand-in/vms`: lists a VM that others have started, or changes what the list says of it.
 */
export function handlePlatformControl(name: string, call: StandInCall, platform: Platform): boolean {
    switch (name) {
        case "POST reclaim":
            answer(call, call.json(reclaimSchema), change => {
                void platform.fleet.reclaim(change.failureDomain, change.noticeMilliseconds);
                return true;
            });
            return true;
        case "POST capacity":
            answer(
                call,
                call.json(capacitySchema),
                ({ failureDomain, ...change }) => platform.offer(failureDomain, change),
            );
            return true;
        case "POST vms":
            answer(call, call.json(vmSchema), vm => {
                platform.fleet.put(vm);
                return true;
            });
            return true;
        default:
            return false;
    }
}

/** Carries a change out and answers 204; 400 when it is malformed or refused. */
function answer<Change>(call: StandInCall, change: Result<Change, string>, act: (change: Change) => boolean): void {
    if (change.err) {
        call.refuse(400, change.val);
    }
    else if (act(change.val)) {
        call.answerAlways(204);
    }
    else {
        call.refuse(400, "unknown failure domain");
    }
}
