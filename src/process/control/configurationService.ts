import type { EventLog } from "../../logEvent/eventLog.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { describeDifference } from "../../version/describeDifference.js";
import type { DescribedChange } from "../../version/describeDifference.js";
import type { Key, Manifest } from "../../version/manifest.js";
import { manifestDifference } from "../../version/manifestDifference.js";
import { withoutKeys } from "../../version/withoutKeys.js";
import type { ConfigurationCommand, ConfigurationOutcome } from "../state/configurationCommand.js";
import type { ControlProposer } from "../state/controlProposer.js";
import type { ControlState } from "../state/controlState.js";
import { readAside } from "./manifestReader.js";

/** Attempts to place a manifest when other changes come between. */
const maximumRebases = 50;

/** An accepted change. */
export interface Acceptance {
    /** Version from which the change is in force. */
    readonly version: number;
    /** Whether the same change had been accepted before. */
    readonly repeated: boolean;
}

/** What accepting a manifest would change. */
export interface ManifestComparison {
    /** Version that it is compared with. */
    readonly version: number;
    /** Whether this very manifest was accepted before. */
    readonly repeated: boolean;
    readonly changes: readonly DescribedChange[];
}

/** What the service uses. */
export interface ConfigurationServiceOptions {
    readonly state: ControlState;
    readonly proposals: ControlProposer;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Takes the operators' changes of the configuration to the replicated log. */
export class ConfigurationService {
    constructor(private readonly options: ConfigurationServiceOptions) {}

    /** Checks a manifest as a whole and has it accepted, or lists every fault. */
    async submit(file: string, text: string, operator: string): Promise<Result<Acceptance, readonly Failure[]>> {
        const checked = await readAside({ file, text });
        if (checked.err) {
            return checked;
        }
        const { manifest, digest } = checked.val;
        const accepted = await this.place(manifest, digest, operator);
        if (accepted.err) {
            return Err([accepted.val]);
        }
        const { version } = accepted.val;
        const fields = { manifestNumber: manifest.number, digest, operator, version };
        this.options.eventLog.write("manifestAccepted", fields);
        return accepted;
    }

    /** Says what a manifest would change, or why it would be refused. */
    async compare(file: string, text: string): Promise<Result<ManifestComparison, readonly Failure[]>> {
        const checked = await readAside({ file, text });
        if (checked.err) {
            return checked;
        }
        const { manifest, digest } = checked.val;
        const section = this.options.state.configuration;
        const { version, manifest: before } = section.current;
        const answer = section.priorOutcomeOf(manifest.number, digest);
        const acceptance = answer === undefined ? Ok({ version, repeated: false }) : acceptanceOf(answer);
        if (acceptance.err) {
            return Err([acceptance.val]);
        }
        const { repeated } = acceptance.val;
        const effective = withoutKeys(manifest, section.withdrawnDigests);
        return Ok({ version, repeated, changes: repeated ? [] : describeDifference(before, effective) });
    }

    /** Issues a key beside the manifest. */
    async issueKey(team: string, key: Key, operator: string): Promise<Result<Acceptance, Failure>> {
        const outcome = await this.propose({ kind: "issueKey", team, key, origin: this.originOf(operator) });
        if (outcome.err) {
            return outcome;
        }
        const accepted = acceptanceOf(outcome.val);
        if (accepted.ok) {
            const fields = { team, keyName: key.name, digest: key.digest, operator, version: accepted.val.version };
            this.options.eventLog.write("keyIssued", fields);
        }
        return accepted;
    }

    /** Withdraws a key for ever. */
    async withdrawKey(digest: string, operator: string): Promise<Result<Acceptance, Failure>> {
        const outcome = await this.propose({ kind: "withdrawKey", digest, origin: this.originOf(operator) });
        if (outcome.err) {
            return outcome;
        }
        const accepted = acceptanceOf(outcome.val);
        if (accepted.ok) {
            this.options.eventLog.write("keyWithdrawn", { digest, operator, version: accepted.val.version });
        }
        return accepted;
    }

    private async place(manifest: Manifest, digest: string, operator: string): Promise<Result<Acceptance, Failure>> {
        for (let attempt = 0; attempt < maximumRebases; attempt++) {
            const outcome = await this.propose(this.submission(manifest, digest, operator));
            if (outcome.err) {
                return outcome;
            }
            if (outcome.val.kind !== "rebase") {
                return acceptanceOf(outcome.val);
            }
        }
        return Err(failure("quorumUnavailable"));
    }

    private submission(manifest: Manifest, digest: string, operator: string): ConfigurationCommand {
        const section = this.options.state.configuration;
        const effective = withoutKeys(manifest, section.withdrawnDigests);
        return {
            kind: "submitManifest",
            number: manifest.number,
            digest,
            baseVersion: section.current.version,
            change: manifestDifference(section.current.manifest, effective),
            origin: this.originOf(operator),
        };
    }

    private originOf(operator: string): ConfigurationCommand["origin"] {
        return { operator, receivedAt: this.options.clock.unixNow() };
    }

    private propose(command: ConfigurationCommand): Promise<Result<ConfigurationOutcome, Failure>> {
        return this.options.proposals.propose("configuration", command);
    }
}

function acceptanceOf(outcome: ConfigurationOutcome): Result<Acceptance, Failure> {
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
        case "rebase":
            return Err(failure("quorumUnavailable"));
    }
}
