import type { EngineOptions } from "./engineOptions.js";

/** How a role changes the pace of an engine, as factors of the time of a mixed engine. */
export interface RoleEffect {
    /** Factor of the time of prefilling a token. */
    readonly prefill: number;
    /** Factor of the time that each running request adds to a step. */
    readonly decode: number;
}

const effects: Readonly<Record<EngineOptions["role"], RoleEffect>> = {
    mixed: { prefill: 1, decode: 1 },
    prefill: { prefill: 0.5, decode: 2 },
    decode: { prefill: 2, decode: 0.75 },
};

/** The effect of a role: each special role is better at its own part and worse at the other. */
export function effectOf(role: EngineOptions["role"]): RoleEffect {
    return effects[role];
}
