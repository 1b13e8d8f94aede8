import { ClaimProposer, createUnconfirmedResponse } from "../../../src/connection/control/claimProposer.js";
import type { ClaimMessage } from "../../../src/connection/control/claimProposer.js";
import type { ControlClaimStore } from "../../../src/connection/entry/controlClaimStore.js";
import { CrashedRequestLedger } from "../../../src/process/control/crashedRequestLedger.js";
import type { RequestQuarantine } from "../../../src/process/entry/requestQuarantine.js";
import { ControlProposer } from "../../../src/process/state/controlProposer.js";
import { ControlState } from "../../../src/process/state/controlState.js";
import { SystemClock } from "../../../src/util/clock.js";
import { VolatileCommandLog } from "../../process/replicatedLog/volatileCommandLog.js";

/** An in-process control state, to which entries are attached without a network. */
export class TestControl {
    readonly state = new ControlState();
    readonly crashedRequests = new CrashedRequestLedger();
    /** Whether claims and results are left unconfirmed. */
    leavesClaimsUnconfirmed = false;
    private readonly clock = new SystemClock();
    private readonly proposals = new ControlProposer(new VolatileCommandLog(this.state));

    /** Begins an incarnation of an entry and handles the claims of its store. */
    async attach(claims: ControlClaimStore, entry: string, incarnation: string): Promise<void> {
        const at = this.clock.unixNow();
        await this.proposals.propose("usage", { kind: "beginIncarnation", entry, incarnation, startedAt: at, at });
        const proposer = new ClaimProposer({ clock: this.clock, proposer: this.proposals }, { entry, incarnation });
        claims.attach(message => {
            void this.respond(proposer, claims, message as ClaimMessage);
        });
    }

    /** Takes an entry's reports of crashes, and tells it which requests are held back. */
    attachQuarantine(quarantine: RequestQuarantine): Disposable {
        quarantine.onReportDue(() => {
            this.crashedRequests.report(quarantine.takeReport(), this.clock.now());
        });
        return this.crashedRequests.onReport(() => {
            const now = this.clock.now();
            quarantine.applyHeld(this.crashedRequests.held(now), now);
        });
    }

    private async respond(proposer: ClaimProposer, claims: ControlClaimStore, message: ClaimMessage): Promise<void> {
        const response = this.leavesClaimsUnconfirmed
            ? createUnconfirmedResponse(message)
            : await proposer.propose(message, new AbortController().signal);
        if (response.kind === "claimDecisions") {
            claims.applyDecisions(response.number, response.decisions);
        }
        else if (response.kind === "claimResultsTaken") {
            claims.confirmResults(response.number, response.taken);
        }
    }
}
