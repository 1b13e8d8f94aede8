import { match } from "ts-pattern";
import { applyConfigurationChange } from "../../version/applyConfigurationChange.js";
import { emptyConfiguration } from "../../version/configurationChange.js";
import type { ConfigurationChange, ConfigurationSnapshot, VersionedChange } from "../../version/configurationChange.js";
import type { AcceptedChange, ConfigurationCommand, ConfigurationOutcome } from "./configurationCommand.js";

/** Changes that are kept for entries which follow by version; older ones are replaced by a snapshot. */
const keptChanges = 10_000;

/** Accepted manifests that are remembered, so that a repeat gives the first answer again. */
const keptAcceptances = 200_000;

/** The section as plain data, for snapshots of the log. */
export interface ConfigurationSectionData {
    readonly configuration: ConfigurationSnapshot;
    readonly withdrawnDigests: readonly string[];
    readonly manifests: readonly AcceptedChange[];
    readonly changes: readonly VersionedChange[];
}

/** The part of the replicated state that holds the configuration and its history. */
export class ConfigurationSection {
    private configuration: ConfigurationSnapshot = emptyConfiguration;
    private withdrawn = new Set<string>();
    private manifests = new Map<number, AcceptedChange>();
    private changes: VersionedChange[] = [];

    /** The configuration in force after the last applied command. */
    get current(): ConfigurationSnapshot {
        return this.configuration;
    }

    /** The acceptance of the newest manifest. */
    get newestManifest(): AcceptedChange | undefined {
        const number = this.configuration.manifest?.number;
        return number === undefined ? undefined : this.manifests.get(number);
    }

    /** Accepted manifests, oldest first. */
    get history(): readonly AcceptedChange[] {
        return [...this.manifests.values()];
    }

    /** Digests of keys that never work again, whatever a later manifest lists. */
    get withdrawnDigests(): ReadonlySet<string> {
        return this.withdrawn;
    }

    /** Applies a command; equal histories give equal outcomes. */
    apply(command: ConfigurationCommand): ConfigurationOutcome {
        return match(command)
            .with({ kind: "submitManifest" }, submission => this.submit(submission))
            .with({ kind: "issueKey" }, issue => this.issue(issue))
            .with({ kind: "withdrawKey" }, ({ digest }) => this.withdraw(digest))
            .exhaustive();
    }

    /** The answer that a number already has; undefined for a number above all accepted ones. */
    priorOutcomeOf(number: number, digest: string): ConfigurationOutcome | undefined {
        const known = this.manifests.get(number);
        if (known !== undefined) {
            return known.digest === digest
                ? { kind: "accepted", version: known.version, repeated: true }
                : { kind: "conflict", number };
        }
        const current = this.configuration.manifest?.number ?? 0;
        return number <= current ? { kind: "stale", number, current } : undefined;
    }

    /** The changes after a version, oldest first; undefined when some of them are no longer kept. */
    changesAfter(version: number): readonly VersionedChange[] | undefined {
        const missing = this.configuration.version - version;
        if (missing < 0 || missing > this.changes.length) {
            return undefined;
        }
        return missing === 0 ? [] : this.changes.slice(-missing);
    }

    /** The section as plain data. */
    toData(): ConfigurationSectionData {
        return {
            configuration: this.configuration,
            withdrawnDigests: [...this.withdrawn],
            manifests: [...this.manifests.values()],
            changes: this.changes,
        };
    }

    /** Replaces the section by plain data. */
    restore(data: ConfigurationSectionData): void {
        this.configuration = data.configuration;
        this.withdrawn = new Set(data.withdrawnDigests);
        this.manifests = new Map(data.manifests.map(accepted => [accepted.number ?? 0, accepted]));
        this.changes = [...data.changes];
    }

    private submit(command: Extract<ConfigurationCommand, { kind: "submitManifest"; }>): ConfigurationOutcome {
        const answer = this.priorOutcomeOf(command.number, command.digest);
        if (answer !== undefined) {
            return answer;
        }
        if (command.baseVersion !== this.configuration.version) {
            return { kind: "rebase", version: this.configuration.version };
        }
        const version = this.advance({ kind: "manifest", number: command.number, change: command.change });
        this.manifests.set(command.number, {
            version,
            number: command.number,
            digest: command.digest,
            operator: command.origin.operator,
            receivedAt: command.origin.receivedAt,
        });
        this.forgetOldest();
        return { kind: "accepted", version, repeated: false };
    }

    private issue(command: Extract<ConfigurationCommand, { kind: "issueKey"; }>): ConfigurationOutcome {
        const { digest } = command.key;
        if (this.withdrawn.has(digest)) {
            return { kind: "keyWasWithdrawn" };
        }
        const manifest = this.configuration.manifest;
        if (manifest?.teams.some(team => team.name === command.team) !== true) {
            return { kind: "unknownTeam", team: command.team };
        }
        if (this.configuration.issuedKeys.some(issued => issued.key.digest === digest)) {
            return { kind: "accepted", version: this.configuration.version, repeated: true };
        }
        const version = this.advance({ kind: "keyIssued", team: command.team, key: command.key });
        return { kind: "accepted", version, repeated: false };
    }

    private withdraw(digest: string): ConfigurationOutcome {
        if (this.withdrawn.has(digest)) {
            return { kind: "accepted", version: this.configuration.version, repeated: true };
        }
        this.withdrawn.add(digest);
        const version = this.advance({ kind: "keyWithdrawn", digest });
        return { kind: "accepted", version, repeated: false };
    }

    private advance(change: ConfigurationChange): number {
        const versioned = { version: this.configuration.version + 1, change };
        this.configuration = applyConfigurationChange(this.configuration, versioned);
        this.changes.push(versioned);
        if (this.changes.length > 2 * keptChanges) {
            this.changes = this.changes.slice(-keptChanges);
        }
        return versioned.version;
    }

    private forgetOldest(): void {
        const oldest = this.manifests.keys().next();
        if (this.manifests.size > keptAcceptances && oldest.done !== true) {
            this.manifests.delete(oldest.value);
        }
    }
}
