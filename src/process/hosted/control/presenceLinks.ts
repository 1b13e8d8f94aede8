import { LinkSet } from "../../../connection/hosted/linkSet.js";
import { PresenceLink } from "../../../connection/hosted/presenceLink.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { EntryRegistry } from "./entryRegistry.js";

/** Pause between two times at which control processes tell each other of their entries; changes go at once. */
const tellInterval: Milliseconds = 400;

/** What the links work on. */
export interface PresenceLinksOptions {
    /** Name of this control process. */
    readonly control: string;
    /** This control process's own host. */
    readonly host: string;
    /** Port on which control processes take links. */
    readonly port: number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly registry: EntryRegistry;
    /** Hosts of all control processes. */
    readonly memberHosts: () => readonly string[];
}

/**
 * Links of this control process to all others, which tell of the entries that are linked to them: each entry links to a
 * few control processes alone, and callers may ask any which entries to use.
 */
export class PresenceLinks {
    private readonly links: LinkSet<PresenceLink>;

    constructor(private readonly parts: PresenceLinksOptions) {
        const { clock, control, eventLog, registry } = parts;
        this.links = new LinkSet(clock, address =>
            new PresenceLink(address, control, clock, eventLog, entries => {
                registry.noteRelayed(address, entries, clock.now());
            }));
    }

    /**
     * Keeps the links up until the signal ends them.
     *
     * @param tell Tells those that observe this control process.
     */
    async run(signal: AbortSignal, tell: () => void): Promise<void> {
        const { host, port, clock, memberHosts } = this.parts;
        while (!signal.aborted) {
            const others = memberHosts().filter(other => other !== host);
            this.links.setAddresses(others.map(other => `${other}:${port}`));
            tell();
            await clock.sleep(tellInterval, signal);
        }
        this.links.close("the process stops");
    }
}
