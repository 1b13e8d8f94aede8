import type { EventLog } from "../../logEvent/eventLog.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { computeManifestDifference } from "../../version/computeManifestDifference.js";
import { describeDifference } from "../../version/describeDifference.js";
import type { DescribedChange } from "../../version/describeDifference.js";
import type { Key, Manifest } from "../../version/manifest.js";
import { removeKeys } from "../../version/removeKeys.js";
import type { ConfigurationCommand, ConfigurationOutcome } from "../state/configurationCommand.js";
import type { ControlProposer } from "../state/controlProposer.js";
import type { ControlState } from "../state/controlState.js";
import { checkManifest } from "./manifestChecker.js";

/** Maximum attempts to propose a manifest; an attempt fails if another change is accepted after its base version. */
const maximumSubmitAttempts = 50;

/** Response to an accepted configuration change. */
export interface Acceptance {
    /** Version from which the change is in force. */
    readonly version: number;
    /** Whether the same change had been accepted before, so that this request changed nothing. */
    readonly repeated: boolean;
}

/** Changes that a manifest would make. */
export interface ManifestComparison {
    /** Version of the configuration that the manifest is compared with. */
    readonly version: number;
    /** Whether the same manifest was accepted before; there are then no changes. */
    readonly repeated: boolean;
    readonly changes: readonly DescribedChange[];
}

/** Dependencies of a {@link ConfigurationService}. */
export interface ConfigurationServiceOptions {
    readonly state: ControlState;
    readonly proposer: ControlProposer;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Proposes configuration changes of operators to the replicated log. */
export class ConfigurationService {
    constructor(private readonly options: ConfigurationServiceOptions) {}

    /** Checks a manifest as a whole and proposes it; returns all failures if it is invalid. */
    async submit(file: string, text: string, operator: string): Promise<Result<Acceptance, readonly Failure[]>> {
        const checked = await checkManifest({ file, text });
        if (checked.err) {
            return checked;
        }
        const { manifest, digest } = checked.val;
        const accepted = await this.proposeWithRebase(manifest, digest, operator);
        if (accepted.err) {
            return Err([accepted.val]);
        }
        const { version } = accepted.val;
        const fields = { manifestNumber: manifest.number, digest, operator, version };
        this.options.eventLog.write("manifestAccepted", fields);
        return accepted;
    }

    /** Compares a manifest with the current configuration; returns the failures if it would be rejected. */
    async compare(file: string, text: string): Promise<Result<ManifestComparison, readonly Failure[]>> {
        const checked = await checkManifest({ file, text });
        if (checked.err) {
            return checked;
        }
        const { manifest, digest } = checked.val;
        const configuration = this.options.state.configuration;
        const { version, manifest: currentManifest } = configuration.current;
        const priorOutcome = configuration.priorOutcomeOf(manifest.number, digest);
        const acceptance = priorOutcome === undefined ? Ok({ version, repeated: false }) : toAcceptance(priorOutcome);
        if (acceptance.err) {
            return Err([acceptance.val]);
        }
        const { repeated } = acceptance.val;
        const effectiveManifest = removeKeys(manifest, configuration.withdrawnDigests);
        return Ok({
            version,
            repeated,
            changes: repeated ? [] : describeDifference(currentManifest, effectiveManifest),
        });
    }

    /** Issues a key that is not part of the manifest. */
    async issueKey(team: string, key: Key, operator: string): Promise<Result<Acceptance, Failure>> {
        const outcome = await this.propose({ kind: "issueKey", team, key, origin: this.createOrigin(operator) });
        if (outcome.err) {
            return outcome;
        }
        const accepted = toAcceptance(outcome.val);
        if (accepted.ok) {
            const fields = { team, keyName: key.name, digest: key.digest, operator, version: accepted.val.version };
            this.options.eventLog.write("keyIssued", fields);
        }
        return accepted;
    }

    /** Withdraws a key permanently. */
    async withdrawKey(digest: string, operator: string): Promise<Result<Acceptance, Failure>> {
        const outcome = await this.propose({ kind: "withdrawKey", digest, origin: this.createOrigin(operator) });
        if (outcome.err) {
            return outcome;
        }
        const accepted = toAcceptance(outcome.val);
        if (accepted.ok) {
            this.options.eventLog.write("keyWithdrawn", { digest, operator, version: accepted.val.version });
        }
        return accepted;
    }

    /** Proposes a manifest; recomputes the change and proposes it again if another change was accepted meanwhile. */
    private async proposeWithRebase(
        manifest: Manifest,
        digest: string,
        operator: string,
    ): Promise<Result<Acceptance, Failure>> {
        for (let attempt = 0; attempt < maximumSubmitAttempts; attempt++) {
            const outcome = await this.propose(this.createSubmitCommand(manifest, digest, operator));
            if (outcome.err) {
                return outcome;
            }
            if (outcome.val.kind !== "rebase") {
                return toAcceptance(outcome.val);
            }
        }
        return Err(failure("quorumUnavailable"));
    }

    private createSubmitCommand(manifest: Manifest, digest: string, operator: string): ConfigurationCommand {
        const configuration = this.options.state.configuration;
        const effectiveManifest = removeKeys(manifest, configuration.withdrawnDigests);
        return {
            kind: "submitManifest",
            number: manifest.number,
            digest,
            baseVersion: configuration.current.version,
            change: computeManifestDifference(configuration.current.manifest, effectiveManifest),
            origin: this.createOrigin(operator),
        };
    }

    private createOrigin(operator: string): ConfigurationCommand["origin"] {
        return { operator, receivedAt: this.options.clock.unixNow() };
    }

    private propose(command: ConfigurationCommand): Promise<Result<ConfigurationOutcome, Failure>> {
        return this.options.proposer.propose("configuration", command);
    }
}

function toAcceptance(outcome: ConfigurationOutcome): Result<Acceptance, Failure> {
    switch (outcome.kind) {
        case "accepted":
            return Ok({ version: outcome.version, repeated: outcome.repeated });
        case "conflict":
            return Err(failure("manifestConflict", { number: outcome.number }));
        case "stale":
            return Err(failure("manifestStale", { number: outcome.number, current: outcome.current }));
        case "unknownTeam":
            return Err(failure("teamUnknown", { team: outcome.team }));
        case "keyWasWithdrawn":
            return Err(failure("keyWasWithdrawn"));
        // Only manifests are rebased, and proposeWithRebase retries them itself.
        case "rebase":
            return Err(failure("quorumUnavailable"));
    }
}
