import { inflateRawSync } from "node:zlib";
import { readDesiredState } from "../../../../platform/desiredState.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Milliseconds } from "../../../util/clock.js";
import { DeploymentIndex } from "../../../version/deploymentIndex.js";

/** Validity of a confirmation as a fraction of the key withdrawal time; the rest covers the network delay. */
const permitValidityFraction = 0.8;

/**
 * The configuration in force at an entry, and the time at which a quorum last confirmed that it is the newest.
 *
 * A recent confirmation is the entry's permit to serve calls.
 */
export class DeploymentView {
    private index: DeploymentIndex | undefined;
    private confirmationRequestedAt: Milliseconds = -Infinity;
    private requiredVersion = 0;
    private wasPermitted = false;

    /**
     * @param keyWithdrawal Maximum time from the acknowledgement of a key's withdrawal until no entry accepts the key.
     */
    constructor(private readonly keyWithdrawal: Milliseconds, private readonly eventLog: EventLog) {}

    /** The configuration in force; undefined before the first one was received. */
    get current(): DeploymentIndex | undefined {
        return this.index;
    }

    /** Version of the configuration in force; 0 if there is none. */
    get version(): number {
        return this.index?.version ?? 0;
    }

    /**
     * Puts a received configuration in force if it is valid and newer than the current one; the version never
     * decreases.
     */
    applyConfiguration(version: number, body: Uint8Array): void {
        if (version <= this.version) {
            return;
        }
        const read = readDesiredState(inflateRawSync(body));
        if (read.err) {
            this.eventLog.write("documentRefused", { version, reason: read.val });
            return;
        }
        this.index = new DeploymentIndex(read.val);
        this.eventLog.write("configurationInForce", { version });
    }

    /** Records a quorum confirmation of the newest version; its age counts from when it was requested. */
    recordConfirmation(requestedAt: Milliseconds, version: number): void {
        this.confirmationRequestedAt = Math.max(this.confirmationRequestedAt, requestedAt);
        this.requiredVersion = Math.max(this.requiredVersion, version);
    }

    /** Time since the newest confirmation was requested. */
    permitAge(now: Milliseconds): Milliseconds {
        return now - this.confirmationRequestedAt;
    }

    /** Age of the newest confirmation in whole milliseconds, for log lines; undefined before the first one. */
    loggedPermitAge(now: Milliseconds): Milliseconds | undefined {
        return this.confirmationRequestedAt === -Infinity ? undefined : Math.round(this.permitAge(now));
    }

    /** Whether calls may be served now: the configuration is up to date as of a recent confirmation. */
    permitsCalls(now: Milliseconds): boolean {
        const isPermitted = this.index !== undefined
            && this.version >= this.requiredVersion
            && this.permitAge(now) < this.keyWithdrawal * permitValidityFraction;
        if (isPermitted !== this.wasPermitted) {
            this.wasPermitted = isPermitted;
            this.eventLog.write(isPermitted ? "permitGained" : "permitLost", { version: this.version });
        }
        return isPermitted;
    }
}
