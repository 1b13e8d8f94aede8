import { ClaimProposer, createUnconfirmedResponse } from "../../../src/connection/control/claimProposer.js";
import type { ClaimMessage } from "../../../src/connection/control/claimProposer.js";
import type { ControlClaimStore } from "../../../src/connection/entry/controlClaimStore.js";
import { ControlProposer } from "../../../src/process/state/controlProposer.js";
import { ControlState } from "../../../src/process/state/controlState.js";
import { SystemClock } from "../../../src/util/clock.js";
import { VolatileCommandLog } from "../../process/replicatedLog/volatileCommandLog.js";

/** The control state of a test, without the network between it and the entries. */
export class TestControl {
    readonly state = new ControlState();
    /** Whether claims are left without an answer. */
    silent = false;
    private readonly clock = new SystemClock();
    private readonly proposals = new ControlProposer(new VolatileCommandLog(this.state));

    /** Connects an entry's claims. */
    async attach(claims: ControlClaimStore, entry: string, incarnation: string): Promise<void> {
        const at = this.clock.unixNow();
        await this.proposals.propose("usage", { kind: "beginIncarnation", entry, incarnation, startedAt: at, at });
        const proposer = new ClaimProposer({ clock: this.clock, proposer: this.proposals }, { entry, incarnation });
        claims.attach(message => {
            void this.answer(proposer, claims, message as ClaimMessage);
        });
    }

    private async answer(proposer: ClaimProposer, claims: ControlClaimStore, message: ClaimMessage): Promise<void> {
        const answer = this.silent
            ? createUnconfirmedResponse(message)
            : await proposer.propose(message, new AbortController().signal);
        if (answer.kind === "claimDecisions") {
            claims.takeDecisions(answer.number, answer.decisions);
        }
        else if (answer.kind === "claimResultsTaken") {
            claims.takeResultsTaken(answer.number, answer.taken);
        }
    }
}
