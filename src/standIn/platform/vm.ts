import { z } from "zod";
import type { UnixMilliseconds } from "../../util/clock.js";

/** Schema of one VM in the platform's list. */
export const vmSchema = z.strictObject({
    endpoint: z.string(),
    address: z.string().describe("IP number and port."),
    failureDomain: z.string(),
    pool: z.string(),
    cheap: z.boolean(),
    state: z.enum(["live", "leaving"]),
    leavesAt: z.number().optional().describe("When a leaving VM goes, in Unix milliseconds."),
}).readonly();

/** One VM in the platform's list. */
export type Vm = z.output<typeof vmSchema>;

/** The body of `GET /vms`. */
export interface VmListAnswer {
    readonly listedAt: UnixMilliseconds;
    readonly vms: readonly Vm[];
}
