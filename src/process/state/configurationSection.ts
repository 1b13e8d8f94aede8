import { match } from "ts-pattern";
import { applyConfigurationChange } from "../../version/applyConfigurationChange.js";
import { emptyConfiguration } from "../../version/configurationChange.js";
import type { ConfigurationChange, ConfigurationSnapshot, VersionedChange } from "../../version/configurationChange.js";
import type { AcceptedChange, ConfigurationCommand, ConfigurationOutcome } from "./configurationCommand.js";

/**
 * Number of changes that are retained for entries that catch up by version; an entry further behind gets a snapshot. Up
 * to twice as many are held before the list is truncated.
 */
const retainedChangeCount = 10_000;

/** Maximum number of retained records of accepted manifests, by which a resubmission gets the original outcome. */
const maximumRetainedManifests = 200_000;

/** State of {@link ConfigurationSection} as plain data, encoded in snapshots of the log. */
export interface ConfigurationSectionSnapshot {
    readonly configuration: ConfigurationSnapshot;
    readonly withdrawnDigests: readonly string[];
    readonly manifests: readonly AcceptedChange[];
    readonly changes: readonly VersionedChange[];
}

/** Section of the replicated state that holds the configuration and its history. */
export class ConfigurationSection {
    private configuration: ConfigurationSnapshot = emptyConfiguration;
    private withdrawn = new Set<string>();
    private manifests = new Map<number, AcceptedChange>();
    private changes: VersionedChange[] = [];

    /** The configuration after the last applied command. */
    get current(): ConfigurationSnapshot {
        return this.configuration;
    }

    /** The record of the newest accepted manifest; undefined before the first. */
    get newestManifest(): AcceptedChange | undefined {
        const number = this.configuration.manifest?.number;
        return number === undefined ? undefined : this.manifests.get(number);
    }

    /** Retained records of accepted manifests, oldest first. */
    get history(): readonly AcceptedChange[] {
        return [...this.manifests.values()];
    }

    /** Digests of withdrawn keys, which stay invalid even if a later manifest lists them. */
    get withdrawnDigests(): ReadonlySet<string> {
        return this.withdrawn;
    }

    /** Applies a command; the outcome depends only on the commands applied before. */
    apply(command: ConfigurationCommand): ConfigurationOutcome {
        return match(command)
            .with({ kind: "submitManifest" }, submission => this.submitManifest(submission))
            .with({ kind: "issueKey" }, issue => this.issueKey(issue))
            .with({ kind: "withdrawKey" }, ({ digest }) => this.withdrawKey(digest))
            .exhaustive();
    }

    /**
     * The outcome of submitting a manifest whose number does not exceed the newest accepted one; undefined for a new
     * number.
     */
    priorOutcomeOf(number: number, digest: string): ConfigurationOutcome | undefined {
        const accepted = this.manifests.get(number);
        if (accepted !== undefined) {
            return accepted.digest === digest
                ? { kind: "accepted", version: accepted.version, repeated: true }
                : { kind: "conflict", number };
        }
        const current = this.configuration.manifest?.number ?? 0;
        return number <= current ? { kind: "stale", number, current } : undefined;
    }

    /**
     * The changes after a version, oldest first; undefined if the version is unknown or some of them are not retained.
     */
    changesAfter(version: number): readonly VersionedChange[] | undefined {
        const missingCount = this.configuration.version - version;
        if (missingCount < 0 || missingCount > this.changes.length) {
            return undefined;
        }
        return missingCount === 0 ? [] : this.changes.slice(-missingCount);
    }

    /** The complete state as plain data. */
    snapshot(): ConfigurationSectionSnapshot {
        return {
            configuration: this.configuration,
            withdrawnDigests: [...this.withdrawn],
            manifests: [...this.manifests.values()],
            changes: this.changes,
        };
    }

    /** Replaces the state with a snapshot. */
    restore(snapshot: ConfigurationSectionSnapshot): void {
        this.configuration = snapshot.configuration;
        this.withdrawn = new Set(snapshot.withdrawnDigests);
        this.manifests = new Map(snapshot.manifests.map(accepted => [accepted.number ?? 0, accepted]));
        this.changes = [...snapshot.changes];
    }

    private submitManifest(command: Extract<ConfigurationCommand, { kind: "submitManifest"; }>): ConfigurationOutcome {
        const priorOutcome = this.priorOutcomeOf(command.number, command.digest);
        if (priorOutcome !== undefined) {
            return priorOutcome;
        }
        if (command.baseVersion !== this.configuration.version) {
            return { kind: "rebase", version: this.configuration.version };
        }
        const version = this.appendChange({ kind: "manifest", number: command.number, change: command.change });
        this.manifests.set(command.number, {
            version,
            number: command.number,
            digest: command.digest,
            operator: command.origin.operator,
            receivedAt: command.origin.receivedAt,
        });
        this.dropOldestManifest();
        return { kind: "accepted", version, repeated: false };
    }

    private issueKey(command: Extract<ConfigurationCommand, { kind: "issueKey"; }>): ConfigurationOutcome {
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
        const version = this.appendChange({ kind: "keyIssued", team: command.team, key: command.key });
        return { kind: "accepted", version, repeated: false };
    }

    private withdrawKey(digest: string): ConfigurationOutcome {
        if (this.withdrawn.has(digest)) {
            return { kind: "accepted", version: this.configuration.version, repeated: true };
        }
        this.withdrawn.add(digest);
        const version = this.appendChange({ kind: "keyWithdrawn", digest });
        return { kind: "accepted", version, repeated: false };
    }

    private appendChange(change: ConfigurationChange): number {
        const versioned = { version: this.configuration.version + 1, change };
        this.configuration = applyConfigurationChange(this.configuration, versioned);
        this.changes.push(versioned);
        if (this.changes.length > 2 * retainedChangeCount) {
            this.changes = this.changes.slice(-retainedChangeCount);
        }
        return versioned.version;
    }

    private dropOldestManifest(): void {
        const oldest = this.manifests.keys().next();
        if (this.manifests.size > maximumRetainedManifests && oldest.done !== true) {
            this.manifests.delete(oldest.value);
        }
    }
}
