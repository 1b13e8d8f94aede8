import { applyConfigurationChange } from "../../version/applyConfigurationChange.js";
import { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import { emptyConfiguration } from "../../version/configurationChange.js";
import type { ConfigurationSnapshot, VersionedChange } from "../../version/configurationChange.js";

/** The active configuration of an entry; its version never decreases. */
export class EntryConfiguration {
    private snapshot: ConfigurationSnapshot = emptyConfiguration;
    private compiled = new CompiledConfiguration(emptyConfiguration);
    private readonly listeners: ((configuration: CompiledConfiguration) => void)[] = [];

    /** The active configuration. */
    get current(): CompiledConfiguration {
        return this.compiled;
    }

    /** Registers a listener that is called after each change of the active version. */
    onChange(listener: (configuration: CompiledConfiguration) => void): void {
        this.listeners.push(listener);
    }

    /** Activates a complete configuration; ignored unless its version is higher than the active one. */
    replace(snapshot: ConfigurationSnapshot): void {
        if (snapshot.version > this.snapshot.version) {
            this.activate(snapshot);
        }
    }

    /**
     * Applies changes in order; those that are already active are skipped.
     *
     * @returns False if a change is missing between the active version and the given ones; nothing is applied then.
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
            this.activate(next);
        }
        return true;
    }

    private activate(snapshot: ConfigurationSnapshot): void {
        this.snapshot = snapshot;
        this.compiled = new CompiledConfiguration(snapshot);
        this.listeners.forEach(listener => {
            listener(this.compiled);
        });
    }
}
