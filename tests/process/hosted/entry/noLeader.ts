import { GrantSource } from "../../../../src/process/hosted/entry/grantSource.js";
import type { GrantDecision } from "../../../../src/process/hosted/grantDecision.js";
import type { RetryGrant } from "../../../../src/process/hosted/retryPolicy.js";

/** Never decides; tests override what their leader decides. */
export class NoLeader extends GrantSource {
    override get leaderId(): string | undefined {
        return undefined;
    }

    override requestGrant(): Promise<GrantDecision | undefined> {
        return Promise.resolve(undefined);
    }

    override requestRetry(): Promise<RetryGrant | undefined> {
        return Promise.resolve(undefined);
    }

    override requestTrial(): Promise<boolean> {
        return Promise.resolve(false);
    }
}
