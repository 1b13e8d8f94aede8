import { LinkSet } from "../../../connection/hosted/linkSet.js";
import { PresenceLink } from "../../../connection/hosted/presenceLink.js";
import type { PresenceLinkContext } from "../../../connection/hosted/presenceLink.js";
import type { Milliseconds } from "../../../util/clock.js";

/** Interval at which control processes report their entries to each other; changes are reported immediately. */
const reportInterval: Milliseconds = 400;

/** Dependencies of {@link PresenceLinks}. */
export interface PresenceLinksOptions extends PresenceLinkContext {
    /** Host of this control process. */
    readonly host: string;
    /** Port on which all control processes accept links. */
    readonly port: number;
    /** Hosts of all control processes, including this one. */
    readonly memberHosts: () => readonly string[];
}

/**
 * Links from this control process to all others, over which they report the entries linked to them, and the endpoints
 * that they read.
 *
 * Each entry links to only a few control processes, but callers may ask any of them which entries to use.
 */
export class PresenceLinks {
    private readonly links: LinkSet<PresenceLink>;

    constructor(private readonly options: PresenceLinksOptions) {
        this.links = new LinkSet(options.clock, address => new PresenceLink(address, options));
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
            this.links.links.forEach(link => {
                link.observe();
            });
            await clock.sleep(reportInterval, signal);
        }
        this.links.close("the process is stopping");
    }
}
