import type { PlatformAct } from "./platformCommand.js";

/** An endpoint of a pool whose version changes. */
export interface RolloutMember {
    readonly endpoint: string;
    readonly address: string;
    /** Version that it serves, or undefined while it serves none. */
    readonly version: string | undefined;
    /** Version whose weights it holds besides, or undefined. */
    readonly loadedVersion: string | undefined;
    /** Whether an act for it is open. */
    readonly busy: boolean;
    /** Failed acts towards the new version so far. */
    readonly failures: number;
}

/** The roll-out of one version in one pool. */
export interface Rollout {
    readonly model: string;
    readonly version: string;
    readonly previousVersion: string;
    /** Whether it failed before and goes back to the previous version. */
    readonly rolledBack: boolean;
    readonly members: readonly RolloutMember[];
    /** Endpoints that the classes need at present. */
    readonly neededEndpoints: number;
}

/** What a roll-out needs next. */
export interface RolloutStep {
    readonly acts: readonly PlatformAct[];
    /** Whether the roll-out goes back from now on. */
    readonly rollBack: boolean;
    /** Whether every endpoint serves the version that is wanted. */
    readonly complete: boolean;
}

/** Failed acts after which a version goes back. */
export const failuresBeforeRollback = 3;

/** Urgency of weight loads of a roll-out; loads of new endpoints are more urgent. */
const rolloutUrgency = 2;

/**
 * Decides the next acts of a roll-out.
 *
 * Weights are loaded beside the version that serves, which costs no capacity. An endpoint changes its version only while
 * enough others serve; the planner must add one where the classes need all.
 */
export function nextRolloutStep(rollout: Rollout): RolloutStep {
    const failures = rollout.members.reduce((total, member) => total + member.failures, 0);
    const rollBack = rollout.rolledBack || failures >= failuresBeforeRollback;
    const target = rollBack ? rollout.previousVersion : rollout.version;
    const outdated = rollout.members.filter(member => member.version !== target);
    const idle = outdated.filter(member => !member.busy);
    const loads = idle.filter(member => member.loadedVersion !== target);
    const serving = rollout.members.filter(member => member.version !== undefined && !member.busy).length;
    const spare = Math.max(0, serving - rollout.neededEndpoints);
    const notServing = idle.filter(member => member.version === undefined && member.loadedVersion === target);
    const changing = idle.filter(member => member.version !== undefined && member.loadedVersion === target);
    const changes = [...notServing, ...changing.slice(0, spare)];
    return {
        acts: [
            ...loads.map(member => loadOf(member, rollout.model, target)),
            ...changes.map(member => changeOf(member, rollout.model, target)),
        ],
        rollBack,
        complete: outdated.length === 0,
    };
}

function loadOf({ endpoint }: RolloutMember, model: string, version: string): PlatformAct {
    return { kind: "loadWeights", endpoint, model, version, urgency: rolloutUrgency };
}

function changeOf({ endpoint, address }: RolloutMember, model: string, version: string): PlatformAct {
    return { kind: "orderEngine", endpoint, address, order: { kind: "loadModel", model, version } };
}
