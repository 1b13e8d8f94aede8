import { StateMachine } from "../../replicatedLog/commandLog.js";
import { decodeValue, encodeValue } from "../../replicatedLog/recordCodec.js";

/** Sealed usage windows that are remembered; reports are due long before as many have passed. */
const rememberedWindows = 40;

/** Calls that began to run in a usage window, for each team. */
export type TeamCounts = Readonly<Record<string, number>>;

/** A configuration as it was submitted. */
export interface StoredDocument {
    readonly version: number;
    /** The operator's document, compressed with DEFLATE. */
    readonly body: Uint8Array;
}

/** A usage window whose figures are fixed. */
export interface SealedCounts {
    readonly window: number;
    readonly counts: TeamCounts;
    /** Whether the platform took the report. */
    readonly isReported: boolean;
}

/** A change of the replicated state. */
export type HostedCommand =
    | { readonly kind: "replaceDocument"; readonly document: StoredDocument; }
    | { readonly kind: "sealWindow"; readonly window: number; readonly counts: TeamCounts; }
    | { readonly kind: "windowReported"; readonly window: number; };

/** What became of a command. */
export interface HostedOutcome {
    /** Version of the configuration after the command. */
    readonly version: number;
}

interface StateImage {
    readonly document: StoredDocument | undefined;
    readonly windows: readonly SealedCounts[];
}

/** The state that the control processes of a hosted installation share. */
export class HostedState extends StateMachine<HostedCommand, HostedOutcome> {
    private stored: StoredDocument | undefined;
    private readonly sealed = new Map<number, SealedCounts>();

    /** @param onDocument Called after the configuration has changed. */
    constructor(private readonly onDocument: () => void) {
        super();
    }

    /** The configuration with the highest version; undefined before the first one. */
    get document(): StoredDocument | undefined {
        return this.stored;
    }

    get version(): number {
        return this.stored?.version ?? 0;
    }

    /** The sealed windows, oldest first. */
    get windows(): readonly SealedCounts[] {
        return [...this.sealed.values()].sort((a, b) => a.window - b.window);
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
        }
        return { version: this.version };
    }

    override snapshot(): Uint8Array {
        const image: StateImage = { document: this.stored, windows: this.windows };
        return encodeValue(image);
    }

    override restore(snapshot: Uint8Array): void {
        const image = decodeValue(snapshot) as StateImage;
        this.stored = image.document ?? undefined;
        this.sealed.clear();
        image.windows.forEach(window => this.sealed.set(window.window, window));
        this.onDocument();
    }

    /** The highest version stays in force, whatever arrives late. */
    private replaceDocument(document: StoredDocument): void {
        if (document.version > this.version) {
            this.stored = document;
            this.onDocument();
        }
    }

    /** The first figures of a window are final. */
    private seal(window: number, counts: TeamCounts): void {
        if (!this.sealed.has(window)) {
            this.sealed.set(window, { window, counts, isReported: false });
        }
        for (const { window: oldest } of this.windows.slice(0, -rememberedWindows)) {
            this.sealed.delete(oldest);
        }
    }

    private markReported(window: number): void {
        const known = this.sealed.get(window);
        if (known !== undefined) {
            this.sealed.set(window, { ...known, isReported: true });
        }
    }
}
