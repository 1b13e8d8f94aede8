import type { Milliseconds } from "../../util/clock.js";

/** What an endpoint is set aside for. */
export type HealthFault =
    /** It accepts no connection, or its load report does not come. */
    | "unreachable"
    /** An answer ended early or was malformed. */
    | "brokenAnswer"
    /** An answer stood still for longer than its class allows. */
    | "stalled"
    /** It works much slower than its siblings. */
    | "slow";

/** Whether an endpoint gets work. */
export type HealthState =
    | { readonly kind: "sound"; }
    /** It gets nothing before a probe after `until` has succeeded. */
    | { readonly kind: "setAside"; readonly until: Milliseconds; readonly fault: HealthFault; }
    /** A probe succeeded; it gets one request at a time until it has proved itself. */
    | { readonly kind: "trial"; readonly fault: HealthFault; };

/** First time for which an endpoint is set aside, by fault, in milliseconds. */
const firstBackOff: Readonly<Record<HealthFault, Milliseconds>> = {
    unreachable: 100,
    brokenAnswer: 100,
    stalled: 1_000,
    slow: 2_000,
};

/** Longest time for which an endpoint is set aside, by fault, in milliseconds. */
const longestBackOff: Readonly<Record<HealthFault, Milliseconds>> = {
    unreachable: 5_000,
    brokenAnswer: 5_000,
    stalled: 60_000,
    slow: 60_000,
};

const sound: HealthState = { kind: "sound" };

/** Sets an endpoint aside after a fault, with exponential back-off, and lets it return on trial. */
export class EndpointHealth {
    private current: HealthState = sound;
    private faults = 0;

    /** Whether it gets work. */
    get state(): HealthState {
        return this.current;
    }

    /** Whether it gets nothing at present. */
    get isSetAside(): boolean {
        return this.current.kind === "setAside";
    }

    /** Whether it is set aside or on trial for being slow. */
    get isSetAsideAsSlow(): boolean {
        return this.current.kind === "setAside" && this.current.fault === "slow";
    }

    /**
     * Sets the endpoint aside; does nothing when it is already, since one crash breaks many answers.
     *
     * @param jitter Uniform in [0, 1); spreads the probes of several entries.
     * @returns Whether the state has changed.
     */
    recordFault(fault: HealthFault, now: Milliseconds, jitter: number): boolean {
        if (this.isSetAside) {
            return false;
        }
        this.setAside(fault, now, jitter);
        return true;
    }

    /** Whether a probe is due. */
    probeDue(now: Milliseconds): boolean {
        return this.current.kind === "setAside" && now >= this.current.until;
    }

    /** Records the end of a probe that was due. */
    recordProbe(succeeded: boolean, now: Milliseconds, jitter: number): void {
        if (this.current.kind !== "setAside") {
            return;
        }
        if (succeeded) {
            this.current = { kind: "trial", fault: this.current.fault };
            return;
        }
        this.setAside(this.current.fault, now, jitter);
    }

    /** Records a whole answer; an endpoint that was slow stays on trial until its pace was compared. */
    recordSuccess(): boolean {
        if (this.current.kind !== "trial" || this.current.fault === "slow") {
            return false;
        }
        this.restore();
        return true;
    }

    /** Ends a trial for slowness. */
    recordNormalPace(): void {
        if (this.current.kind === "trial" && this.current.fault === "slow") {
            this.restore();
        }
    }

    private restore(): void {
        this.current = sound;
        this.faults = 0;
    }

    private setAside(fault: HealthFault, now: Milliseconds, jitter: number): void {
        const backOff = Math.min(longestBackOff[fault], firstBackOff[fault] * 2 ** this.faults);
        this.faults++;
        this.current = { kind: "setAside", until: now + backOff * (1 + jitter / 2), fault };
    }
}
