import { match } from "ts-pattern";
import type { ClaimCommand, ClaimOutcome } from "../../process/claims/claimCommand.js";
import type { ControlProposer } from "../../process/state/controlProposer.js";
import type { Clock } from "../../util/clock.js";
import type { ControlToEntry, EntryToControl } from "../entryMessages.js";

/** A message from an entry that proposes claims or their results. */
export type ClaimMessage = Extract<EntryToControl, { kind: "claimBatch" | "claimResults"; }>;

/** The entry process that owns the claims. */
export interface Claimant {
    readonly entry: string;
    readonly incarnation: string;
}

/** Dependencies of a {@link ClaimProposer}. */
export interface ClaimProposerContext {
    readonly clock: Clock;
    readonly proposer: ControlProposer;
}

/** Proposes the claims of one entry to the replicated log; each message becomes one command. */
export class ClaimProposer {
    constructor(private readonly context: ClaimProposerContext, private readonly claimant: Claimant) {}

    /**
     * Proposes the claims or results of a message.
     *
     * Resolves with the response to the entry, which also reports a command that could not be committed.
     */
    propose(message: ClaimMessage, signal: AbortSignal): Promise<ControlToEntry> {
        return match(message)
            .with({ kind: "claimBatch" }, batch => this.proposeClaims(batch, signal))
            .with({ kind: "claimResults" }, results => this.proposeResults(results, signal))
            .exhaustive();
    }

    private async proposeClaims(
        { number, claims }: Extract<ClaimMessage, { kind: "claimBatch"; }>,
        signal: AbortSignal,
    ): Promise<ControlToEntry> {
        const { entry, incarnation } = this.claimant;
        const at = this.context.clock.unixNow();
        const outcome = await this.proposeCommand({ kind: "claimBatch", entry, incarnation, claims, at }, signal);
        const decisions = outcome?.kind === "decided" ? outcome.decisions : undefined;
        return { kind: "claimDecisions", number, decisions };
    }

    private async proposeResults(
        { number, results }: Extract<ClaimMessage, { kind: "claimResults"; }>,
        signal: AbortSignal,
    ): Promise<ControlToEntry> {
        const at = this.context.clock.unixNow();
        const outcome = await this.proposeCommand({ kind: "claimResultBatch", results, at }, signal);
        return { kind: "claimResultsTaken", number, taken: outcome !== undefined };
    }

    private async proposeCommand(command: ClaimCommand, signal: AbortSignal): Promise<ClaimOutcome | undefined> {
        const outcome = await this.context.proposer.propose("claims", command, signal);
        return outcome.ok ? outcome.val : undefined;
    }
}

/** Creates the response to a message whose claims or results could not be committed. */
export function createUnconfirmedResponse(message: ClaimMessage): ControlToEntry {
    const { number } = message;
    return message.kind === "claimBatch"
        ? { kind: "claimDecisions", number, decisions: undefined }
        : { kind: "claimResultsTaken", number, taken: false };
}
