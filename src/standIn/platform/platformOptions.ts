import { z } from "zod";
import { vmSchema } from "./vm.js";

const capacitySchema = z.strictObject({
    name: z.string(),
    steadyCapacity: z.int().min(0).default(100).describe("Endpoints on offer that are not reclaimed."),
    cheapCapacity: z.int().min(0).default(100).describe("Endpoints on offer that may be reclaimed."),
}).readonly();

/** Schema of what a stand-in platform is constructed with; everything has a default. */
export const platformOptionsSchema = z.strictObject({
    name: z.string().default("platform"),
    failureDomains: z.array(capacitySchema).readonly().default([]),
    vms: z.array(vmSchema).readonly().default([]).describe("VMs that others have started."),
    announcesLeaving: z.boolean().default(false).describe("Whether endpoints are told that they are taken back."),
    startMilliseconds: z.number().min(0).default(0).describe("Time until an ordered endpoint runs."),
    listLagMilliseconds: z.number().min(0).default(500).describe("Age of what the list of VMs says."),
    weightLoadsPerSecond: z.number().positive().default(2),
    weightLoadBurst: z.int().positive().default(4).describe("Weight loads accepted at once after a pause."),
    weightLoadMilliseconds: z.number().min(0).default(50).describe("Time that a weight load takes."),
}).readonly();

/** What a stand-in platform is constructed with. */
export type PlatformOptions = z.output<typeof platformOptionsSchema>;

/** Options as callers write them, with defaults left out. */
export type PlatformOptionsInput = z.input<typeof platformOptionsSchema>;

/** A change of what a failure domain offers. */
export interface CapacityChange {
    readonly steadyCapacity?: number | undefined;
    readonly cheapCapacity?: number | undefined;
}

/** Supply of one failure domain. */
export type FailureDomainCapacity = z.output<typeof capacitySchema>;
