import { StateMachine } from "../../replicatedLog/commandLog.js";
import { decodeValue, encodeValue } from "../../replicatedLog/recordCodec.js";
import type { FeatureHold } from "../featureHold.js";
import { compareEvidence, featureKey, maximumHolds } from "../featureHold.js";

/** Number of sealed usage windows kept in the state; the report of each is due long before it is dropped. */
const retainedWindows = 40;

/** Number of calls started in a usage window, by team. */
export type TeamCounts = Readonly<Record<string, number>>;

/** A submitted configuration. */
export interface StoredDocument {
    readonly version: number;
    /** The document as the operator sent it, DEFLATE-compressed. */
    readonly body: Uint8Array;
}

/** A usage window whose counts are final. */
export interface SealedCounts {
    readonly window: number;
    readonly counts: TeamCounts;
    /** Whether the platform has accepted the report. */
    readonly isReported: boolean;
}

/** A command that changes the replicated state. */
export type HostedCommand =
    | { readonly kind: "replaceDocument"; readonly document: StoredDocument; }
    | { readonly kind: "sealWindow"; readonly window: number; readonly counts: TeamCounts; }
    | { readonly kind: "windowReported"; readonly window: number; }
    /** Holds back calls, or replaces what is stored about calls that are held back. */
    | { readonly kind: "holdCalls"; readonly hold: FeatureHold; }
    | { readonly kind: "releaseCalls"; readonly service: string; readonly feature: string; };

/** Result of applying a command. */
export interface HostedOutcome {
    /** Version of the configuration after the command; 0 without a configuration. */
    readonly version: number;
}

interface HostedStateSnapshot {
    readonly document: StoredDocument | undefined;
    readonly windows: readonly SealedCounts[];
    /** Absent in snapshots of earlier versions. */
    readonly holds?: readonly FeatureHold[];
    readonly holdsRevision?: number;
}

/** Replicated state of the control processes of a hosted installation. */
export class HostedState extends StateMachine<HostedCommand, HostedOutcome> {
    private current: StoredDocument | undefined;
    private readonly sealed = new Map<number, SealedCounts>();
    private readonly held = new Map<string, FeatureHold>();
    private revision = 0;

    /**
     * @param onDocumentChange Called after the configuration has changed.
     * @param onHoldsChange Called after it has changed which calls are held back.
     */
    constructor(
        private readonly onDocumentChange: () => void,
        private readonly onHoldsChange: () => void = () => undefined,
    ) {
        super();
    }

    /** The configuration with the highest version; undefined if none has been submitted. */
    get document(): StoredDocument | undefined {
        return this.current;
    }

    get version(): number {
        return this.current?.version ?? 0;
    }

    /** Sealed usage windows, oldest first. */
    get windows(): readonly SealedCounts[] {
        return [...this.sealed.values()].sort((a, b) => a.window - b.window);
    }

    /** Features of calls that are held back, the oldest first. */
    get holds(): readonly FeatureHold[] {
        return [...this.held.values()];
    }

    /** Increases with each change of {@link holds}. */
    get holdsRevision(): number {
        return this.revision;
    }

    findHold(service: string, feature: string): FeatureHold | undefined {
        return this.held.get(featureKey({ service, feature }));
    }

    override apply(command: HostedCommand): HostedOutcome {
        switch (command.kind) {
            case "replaceDocument":
                this.replaceDocument(command.document);
                break;
            case "sealWindow":
                this.seal(command.window, command.counts);
                break;
            case "windowReported":
                this.markReported(command.window);
                break;
            case "holdCalls":
                this.hold(command.hold);
                break;
            case "releaseCalls":
                this.held.delete(featureKey(command));
                this.recordHoldsChange();
                break;
        }
        return { version: this.version };
    }

    override snapshot(): Uint8Array {
        const state: HostedStateSnapshot = {
            document: this.current,
            windows: this.windows,
            holds: this.holds,
            holdsRevision: this.revision,
        };
        return encodeValue(state);
    }

    override restore(snapshot: Uint8Array): void {
        const restored = decodeValue(snapshot) as HostedStateSnapshot;
        this.current = restored.document ?? undefined;
        this.sealed.clear();
        restored.windows.forEach(window => this.sealed.set(window.window, window));
        this.held.clear();
        restored.holds?.forEach(hold => this.held.set(featureKey(hold), hold));
        this.revision = restored.holdsRevision ?? 0;
        this.onDocumentChange();
        this.onHoldsChange();
    }

    /** Ignores a document whose version is not higher than the current one, such as one that arrives out of order. */
    private replaceDocument(document: StoredDocument): void {
        if (document.version > this.version) {
            this.current = document;
            this.onDocumentChange();
        }
    }

    /** Seals a window; counts of a window that is already sealed are ignored. */
    private seal(window: number, counts: TeamCounts): void {
        if (!this.sealed.has(window)) {
            this.sealed.set(window, { window, counts, isReported: false });
        }
        for (const { window: oldest } of this.windows.slice(0, -retainedWindows)) {
            this.sealed.delete(oldest);
        }
    }

    private markReported(window: number): void {
        const known = this.sealed.get(window);
        if (known !== undefined) {
            this.sealed.set(window, { ...known, isReported: true });
        }
    }

    private hold(hold: FeatureHold): void {
        this.held.set(featureKey(hold), hold);
        for (const weakest of [...this.holds].sort(compareEvidence).slice(maximumHolds)) {
            this.held.delete(featureKey(weakest));
        }
        this.recordHoldsChange();
    }

    private recordHoldsChange(): void {
        this.revision++;
        this.onHoldsChange();
    }
}
