import type { EngineOptions } from "./engineOptions.js";

/** Factors by which a role changes the step times of an engine, relative to the `mixed` role. */
export interface RoleTimeFactors {
    /** Factor for the time to prefill a token. */
    readonly prefill: number;
    /** Factor for the time that each running request adds to a step. */
    readonly decode: number;
}

const timeFactors: Readonly<Record<EngineOptions["role"], RoleTimeFactors>> = {
    mixed: { prefill: 1, decode: 1 },
    prefill: { prefill: 0.5, decode: 2 },
    decode: { prefill: 2, decode: 0.75 },
};

/** The time factors of a role: a specialized role is faster at its own phase and slower at the other. */
export function timeFactorsOf(role: EngineOptions["role"]): RoleTimeFactors {
    return timeFactors[role];
}
