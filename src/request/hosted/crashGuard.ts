import type { KnownHold } from "../../process/hosted/entry/callQuarantine.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { waitForSocketPoll } from "../../util/waitForSocketPoll.js";
import type { AdmittedCall, CallContext, Refusal } from "./callContext.js";
import type { AttemptOutcome } from "./endpointAttempt.js";

/** Keeps one call from crashing further endpoints, and records what its attempts tell about crashes. */
export class CrashGuard {
    /** Features because of which calls are held back, and with which this call is let through. */
    private readonly trials = new Set<string>();
    /** Whether the endpoint of the newest attempt does not crash because of the call. */
    private isEstablished = false;

    constructor(private readonly context: CallContext) {}

    /** Whether the call was held back and is let through. */
    get isOnTrial(): boolean {
        return this.trials.size > 0;
    }

    /**
     * Asks the leader to let the call through if it is held back and a trial is due.
     *
     * @param mayBeTried Whether a trial is possible: the call has not run, and its caller has not left.
     * @returns The hold because of which the call must not be sent; undefined if it may be sent.
     */
    async resolveHold(call: AdmittedCall, mayBeTried: () => boolean): Promise<KnownHold | undefined> {
        const { quarantine, grantSource, clock } = this.context;
        for (;;) {
            const holds = this.untriedHolds(call);
            const hold = holds.find(({ nextTrialAt }) => nextTrialAt > clock.now()) ?? holds[0];
            if (hold === undefined || hold.nextTrialAt > clock.now() || !mayBeTried()) {
                return hold;
            }
            const isGranted = await grantSource.requestTrial(call.service.name, hold.feature, call.features);
            await waitForSocketPoll();
            if (!isGranted) {
                return hold;
            }
            quarantine.recordTrial();
            this.trials.add(hold.feature);
        }
    }

    /** The refusal of a call that is held back and has not run. */
    refuse(call: AdmittedCall, hold: KnownHold, now: Milliseconds): Refusal {
        const { quarantine } = this.context;
        const { feature } = hold;
        quarantine.recordRefusal();
        return {
            reason: failure("callHeldBack", { feature }),
            call,
            retryAfter: quarantine.retryAfter(hold, now),
            feature,
        };
    }

    /** Whether the call may be the cause of crashes, so that few other calls should run where it does. */
    isSuspicious({ service, features }: AdmittedCall): boolean {
        return this.isOnTrial || this.context.quarantine.isSuspicious(service.name, features);
    }

    beginAttempt(): void {
        this.isEstablished = false;
    }

    /** Records that the endpoint of the newest attempt does not crash because of the call. */
    recordEstablished(call: AdmittedCall, sentAt: Milliseconds, now: Milliseconds): void {
        this.isEstablished = true;
        this.recordSound(call, sentAt, now);
    }

    /** Records what the outcome of the newest attempt tells about crashes. */
    recordOutcome(
        call: AdmittedCall,
        endpoint: HostedEndpoint,
        outcome: AttemptOutcome,
        sentAt: Milliseconds,
        now: Milliseconds,
    ): void {
        // An endpoint that responds with an error has not crashed.
        if (outcome.kind === "failedAnswer" || (outcome.kind === "delivered" && outcome.isFramed)) {
            this.recordSound(call, sentAt, now);
        }
        if (outcome.kind === "lost" && outcome.wasDisconnected && !this.isEstablished) {
            const { features, team } = call;
            this.context.crashObserver.recordLostCall(endpoint, { team: team?.name, features });
        }
    }

    private recordSound({ service, features }: AdmittedCall, sentAt: Milliseconds, now: Milliseconds): void {
        this.context.quarantine.recordSound(service.name, features, sentAt, now);
    }

    private untriedHolds({ service, team, features }: AdmittedCall): readonly KnownHold[] {
        return this.context.quarantine.holdsOf(service.name, team?.name, features).filter(({ feature }) =>
            !this.trials.has(feature)
        );
    }
}
