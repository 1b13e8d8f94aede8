import { z } from "zod";
import { vmSchema } from "./vm.js";

const capacitySchema = z.strictObject({
    name: z.string(),
    steadyCapacity: z.int().min(0).default(100).describe("Maximum number of endpoints that are never reclaimed."),
    cheapCapacity: z.int().min(0).default(100).describe("Maximum number of endpoints that may be reclaimed."),
}).readonly();

/** Schema of the options of a stand-in platform; all options have defaults. */
export const platformOptionsSchema = z.strictObject({
    name: z.string().default("platform"),
    failureDomains: z.array(capacitySchema).readonly().default([]),
    vms: z.array(vmSchema).readonly().default([]).describe("Listed VMs that others started."),
    announcesLeaving: z.boolean().default(false).describe("Whether endpoints are notified when they are reclaimed."),
    startMilliseconds: z.number().min(0).default(0).describe("Time to start an ordered endpoint."),
    listLagMilliseconds: z.number().min(0).default(500).describe("Delay until a change is visible in the list of VMs."),
    weightLoadsPerSecond: z.number().positive().default(2),
    weightLoadBurst: z.int().positive().default(4).describe("Maximum number of weight loads accepted in a burst."),
    weightLoadMilliseconds: z.number().min(0).default(50).describe("Duration of a weight load."),
}).readonly();

/** Validated options of a stand-in platform. */
export type PlatformOptions = z.output<typeof platformOptionsSchema>;

/** Options before validation; fields with defaults are optional. */
export type PlatformOptionsInput = z.input<typeof platformOptionsSchema>;

/** A change of the capacity of a failure domain; absent fields stay unchanged. */
export interface CapacityChange {
    readonly steadyCapacity?: number | undefined;
    readonly cheapCapacity?: number | undefined;
}

/** Capacity of a failure domain. */
export type FailureDomainCapacity = z.output<typeof capacitySchema>;
