import type { PlatformAct } from "./platformCommand.js";

/** An endpoint of a pool whose model version is being changed. */
export interface RolloutMember {
    readonly endpoint: string;
    readonly address: string;
    /** Version that it serves, or undefined if it serves none. */
    readonly version: string | undefined;
    /** Version whose weights it has loaded in addition, or undefined. */
    readonly loadedVersion: string | undefined;
    /** Whether an act for this endpoint is open. */
    readonly busy: boolean;
    /** Number of failed acts for the new version so far. */
    readonly failures: number;
}

/** Rollout of one version in one pool. */
export interface Rollout {
    readonly model: string;
    readonly version: string;
    readonly previousVersion: string;
    /** Whether the rollout has failed and is being rolled back to the previous version. */
    readonly rolledBack: boolean;
    readonly members: readonly RolloutMember[];
    /** Number of endpoints that the request classes currently need. */
    readonly neededEndpoints: number;
}

/** Next step of a rollout. */
export interface RolloutStep {
    readonly acts: readonly PlatformAct[];
    /** Whether the rollout must be rolled back from now on. */
    readonly rollBack: boolean;
    /** Whether every endpoint serves the target version. */
    readonly complete: boolean;
}

/** Number of failed acts after which a rollout is rolled back. */
export const failuresBeforeRollback = 3;

/** Urgency of weight loads of a rollout; loads for new endpoints are more urgent. */
const rolloutUrgency = 2;

/**
 * Computes the next acts of a rollout.
 *
 * Weights are loaded while the endpoint still serves its current version, which costs no capacity. An endpoint switches
 * its version only while enough others serve; if all are needed, the capacity planner must add one first.
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
    const switchable = idle.filter(member => member.version !== undefined && member.loadedVersion === target);
    const switches = [...notServing, ...switchable.slice(0, spare)];
    return {
        acts: [
            ...loads.map(member => weightLoadFor(member, rollout.model, target)),
            ...switches.map(member => versionSwitchFor(member, rollout.model, target)),
        ],
        rollBack,
        complete: outdated.length === 0,
    };
}

function weightLoadFor({ endpoint }: RolloutMember, model: string, version: string): PlatformAct {
    return { kind: "loadWeights", endpoint, model, version, urgency: rolloutUrgency };
}

function versionSwitchFor({ endpoint, address }: RolloutMember, model: string, version: string): PlatformAct {
    return { kind: "orderEngine", endpoint, address, order: { kind: "loadModel", model, version } };
}
