import { inflateRawSync } from "node:zlib";
import { readDesiredState } from "../../../../platform/desiredState.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Milliseconds } from "../../../util/clock.js";
import { DeploymentIndex } from "../../../version/deploymentIndex.js";

/** Part of the time until a withdrawn key must be dead for which a confirmation counts; the rest covers its way. */
const permitFraction = 0.8;

/** The configuration in force at an entry, and how lately a quorum confirmed that it is the newest. */
export class DeploymentView {
    private index: DeploymentIndex | undefined;
    private confirmedAt: Milliseconds = -Infinity;
    private requiredVersion = 0;
    private isPermitted = false;

    /** @param keyWithdrawal Longest time from the acknowledgement of a withdrawn key until it is dead everywhere. */
    constructor(private readonly keyWithdrawal: Milliseconds, private readonly eventLog: EventLog) {}

    /** The configuration in force; undefined before the first one. */
    get current(): DeploymentIndex | undefined {
        return this.index;
    }

    get version(): number {
        return this.index?.version ?? 0;
    }

    /** Puts a configuration in force unless a later one is; versions never fall. */
    take(version: number, body: Uint8Array): void {
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

    /** Takes a confirmation by a quorum; the time counts from when it was asked for. */
    confirm(askedAt: Milliseconds, version: number): void {
        this.confirmedAt = Math.max(this.confirmedAt, askedAt);
        this.requiredVersion = Math.max(this.requiredVersion, version);
    }

    /** Time since the newest confirmation was asked for. */
    permitAge(now: Milliseconds): Milliseconds {
        return now - this.confirmedAt;
    }

    /** The age of the newest confirmation in whole milliseconds, for log lines; undefined before the first one. */
    loggedPermitAge(now: Milliseconds): Milliseconds | undefined {
        return this.confirmedAt === -Infinity ? undefined : Math.round(this.permitAge(now));
    }

    /** Whether calls may be served now. */
    permits(now: Milliseconds): boolean {
        const isPermitted = this.index !== undefined
            && this.version >= this.requiredVersion
            && this.permitAge(now) < this.keyWithdrawal * permitFraction;
        if (isPermitted !== this.isPermitted) {
            this.isPermitted = isPermitted;
            this.eventLog.write(isPermitted ? "permitGained" : "permitLost", { version: this.version });
        }
        return isPermitted;
    }
}
