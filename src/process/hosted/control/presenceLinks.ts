import { LinkSet } from "../../../connection/hosted/linkSet.js";
import { PresenceLink } from "../../../connection/hosted/presenceLink.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { EntryRegistry } from "./entryRegistry.js";

/** Interval at which control processes report their entries to each other; changes are reported immediately. */
const reportInterval: Milliseconds = 400;

/** Dependencies of {@link PresenceLinks}. */
export interface PresenceLinksOptions {
    /** Name of this control process. */
    readonly control: string;
    /** Host of this control process. */
    readonly host: string;
    /** Port on which all control processes accept links. */
    readonly port: number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly registry: EntryRegistry;
    /** Hosts of all control processes, including this one. */
    readonly memberHosts: () => readonly string[];
}

/**
 * Links from this control process to all others, over which they report the entries linked to them.
 *
 * Each entry links to only a few control processes, but callers may ask any of them which entries to use.
 */
export class PresenceLinks {
    private readonly links: LinkSet<PresenceLink>;

    constructor(private readonly options: PresenceLinksOptions) {
        const { clock, control, eventLog, registry } = options;
        this.links = new LinkSet(clock, address =>
            new PresenceLink(address, control, clock, eventLog, entries => {
                registry.replaceRelayed(address, entries, clock.now());
            }));
    }

    /**
     * Maintains the links until the signal is aborted.
     *
     * @param report Called at each interval to report this process's entries to the control processes linked to it.
     */
    async run(signal: AbortSignal, report: () => void): Promise<void> {
        const { host, port, clock, memberHosts } = this.options;
        while (!signal.aborted) {
            const others = memberHosts().filter(other => other !== host);
            this.links.setAddresses(others.map(other => `${other}:${port}`));
            report();
            await clock.sleep(reportInterval, signal);
        }
        this.links.close("the process is stopping");
    }
}
