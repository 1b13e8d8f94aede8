import { z } from "zod";
import type { UnixMilliseconds } from "../../util/clock.js";

/** Schema of a VM in the platform's list. */
export const vmSchema = z.strictObject({
    endpoint: z.string(),
    address: z.string().describe("IP address and port."),
    failureDomain: z.string(),
    pool: z.string(),
    cheap: z.boolean(),
    state: z.enum(["live", "leaving"]),
    leavesAt: z.number().optional().describe("Time at which a leaving VM stops, in Unix milliseconds."),
}).readonly();

/** A VM in the platform's list. */
export type Vm = z.output<typeof vmSchema>;

/** The body of `GET /vms`. */
export interface VmListResponse {
    readonly listedAt: UnixMilliseconds;
    readonly vms: readonly Vm[];
}
