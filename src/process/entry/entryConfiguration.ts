import { applyConfigurationChange } from "../../version/applyConfigurationChange.js";
import { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import { emptyConfiguration } from "../../version/configurationChange.js";
import type { ConfigurationSnapshot, VersionedChange } from "../../version/configurationChange.js";

/** The configuration that is in force at an entry; its version only rises. */
export class EntryConfiguration {
    private snapshot: ConfigurationSnapshot = emptyConfiguration;
    private compiled = new CompiledConfiguration(emptyConfiguration);
    private readonly listeners: ((configuration: CompiledConfiguration) => void)[] = [];

    /** The configuration in force. */
    get current(): CompiledConfiguration {
        return this.compiled;
    }

    /** Calls the listener after each rise of the version. */
    onChange(listener: (configuration: CompiledConfiguration) => void): void {
        this.listeners.push(listener);
    }

    /** Takes over a whole configuration; an older one is ignored. */
    replace(snapshot: ConfigurationSnapshot): void {
        if (snapshot.version > this.snapshot.version) {
            this.enforce(snapshot);
        }
    }

    /**
     * Applies changes in order; those already in force are skipped.
     *
     * @returns False when a change is missing between the version in force and the given ones.
     */
    apply(changes: readonly VersionedChange[]): boolean {
        let next = this.snapshot;
        for (const change of changes) {
            if (change.version > next.version + 1) {
                return false;
            }
            if (change.version === next.version + 1) {
                next = applyConfigurationChange(next, change);
            }
        }
        if (next !== this.snapshot) {
            this.enforce(next);
        }
        return true;
    }

    private enforce(snapshot: ConfigurationSnapshot): void {
        this.snapshot = snapshot;
        this.compiled = new CompiledConfiguration(snapshot);
        this.listeners.forEach(listener => {
            listener(this.compiled);
        });
    }
}
