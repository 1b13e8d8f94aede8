import type { Milliseconds } from "../../util/clock.js";

/** Reason for setting an endpoint aside. */
export type HealthFault =
    /** It refused connections, or did not respond to requests for its load report. */
    | "unreachable"
    /** A response ended early or was malformed. */
    | "brokenAnswer"
    /** A response made no progress for longer than the timeout of its class. */
    | "stalled"
    /** It is much slower than the other endpoints of its pool. */
    | "slow";

/** Health of an endpoint, which decides whether it receives requests. */
export type HealthState =
    | { readonly kind: "sound"; }
    /** It receives no requests until a probe succeeds; the next probe is due at `until`. */
    | { readonly kind: "setAside"; readonly until: Milliseconds; readonly fault: HealthFault; }
    /** A probe succeeded; it receives one request at a time until it has proved to be healthy. */
    | { readonly kind: "trial"; readonly fault: HealthFault; };

/** Back-off after the first fault, in milliseconds. */
const initialBackOff: Readonly<Record<HealthFault, Milliseconds>> = {
    unreachable: 100,
    brokenAnswer: 100,
    stalled: 1_000,
    slow: 2_000,
};

/** Upper bound of the exponential back-off, before jitter, in milliseconds. */
const maximumBackOff: Readonly<Record<HealthFault, Milliseconds>> = {
    unreachable: 5_000,
    brokenAnswer: 5_000,
    stalled: 60_000,
    slow: 60_000,
};

const soundState: HealthState = { kind: "sound" };

/** Health state machine of an endpoint: set aside after a fault with exponential back-off, then on trial, then sound. */
export class EndpointHealth {
    private currentState: HealthState = soundState;
    private consecutiveFaults = 0;

    get state(): HealthState {
        return this.currentState;
    }

    /** Whether the endpoint receives no requests. */
    get isSetAside(): boolean {
        return this.currentState.kind === "setAside";
    }

    /** Whether the endpoint is set aside because it was slow. */
    get isSetAsideAsSlow(): boolean {
        return this.currentState.kind === "setAside" && this.currentState.fault === "slow";
    }

    /**
     * Sets the endpoint aside; has no effect if it already is, because one crash interrupts many responses.
     *
     * @param jitter Uniform in [0, 1); lengthens the back-off by up to half, so that entries probe at different times.
     * @returns Whether the state changed.
     */
    recordFault(fault: HealthFault, now: Milliseconds, jitter: number): boolean {
        if (this.isSetAside) {
            return false;
        }
        this.setAside(fault, now, jitter);
        return true;
    }

    /** Whether the endpoint is set aside and its back-off has elapsed. */
    isProbeDue(now: Milliseconds): boolean {
        return this.currentState.kind === "setAside" && now >= this.currentState.until;
    }

    /** Records the result of a probe: starts the trial, or sets the endpoint aside for longer. */
    recordProbe(succeeded: boolean, now: Milliseconds, jitter: number): void {
        if (this.currentState.kind !== "setAside") {
            return;
        }
        if (succeeded) {
            this.currentState = { kind: "trial", fault: this.currentState.fault };
            return;
        }
        this.setAside(this.currentState.fault, now, jitter);
    }

    /**
     * Records a complete response, which ends a trial unless the fault was slowness.
     *
     * An endpoint that was slow stays on trial until its latency has been compared with that of the others.
     *
     * @returns Whether the state changed.
     */
    recordSuccess(): boolean {
        if (this.currentState.kind !== "trial" || this.currentState.fault === "slow") {
            return false;
        }
        this.markSound();
        return true;
    }

    /** Ends a trial after slowness, because the latency of the endpoint is normal again. */
    recordNormalLatency(): void {
        if (this.currentState.kind === "trial" && this.currentState.fault === "slow") {
            this.markSound();
        }
    }

    private markSound(): void {
        this.currentState = soundState;
        this.consecutiveFaults = 0;
    }

    private setAside(fault: HealthFault, now: Milliseconds, jitter: number): void {
        const backOff = Math.min(maximumBackOff[fault], initialBackOff[fault] * 2 ** this.consecutiveFaults);
        this.consecutiveFaults++;
        this.currentState = { kind: "setAside", until: now + backOff * (1 + jitter / 2), fault };
    }
}
