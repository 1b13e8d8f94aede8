import type { Clock, Milliseconds } from "../../util/clock.js";

/** Delay before a link is reopened that has ended; doubles with each further one that ended without a response. */
const minimumReopenDelay: Milliseconds = 200;

const maximumReopenDelay: Milliseconds = 1_000;

/** A connection that a {@link LinkSet} reopens after it has ended. */
export interface ReopenableLink {
    /** Whether the other side has responded and the connection is open. */
    readonly isUp: boolean;
    /** Whether the other side has ever responded. */
    readonly hasResponded: boolean;
    /** Resolves when the link has ended. */
    run(): Promise<void>;
    close(reason: string): void;
}

/** Maintains links to a changing set of addresses, and reopens those that end. */
export class LinkSet<Link extends ReopenableLink> {
    private readonly linksByAddress = new Map<string, Link>();
    private readonly failuresByAddress = new Map<string, number>();

    /**
     * @param createLink Opens a link to an address, after a number of links in succession that got no response.
     * @param onEnded Called when a link has ended.
     */
    constructor(
        private readonly clock: Clock,
        private readonly createLink: (address: string, failures: number) => Link,
        private readonly onEnded: (address: string) => void = () => undefined,
    ) {}

    get links(): readonly Link[] {
        return [...this.linksByAddress.values()];
    }

    /** Sets the addresses to link to; links to other addresses are closed once all links to these are up. */
    setAddresses(addresses: readonly string[]): void {
        const wantedAddresses = new Set(addresses);
        for (const address of wantedAddresses) {
            if (!this.linksByAddress.has(address)) {
                void this.runLink(address);
            }
        }
        if (addresses.every(address => this.linksByAddress.get(address)?.isUp === true)) {
            for (const [address, link] of this.linksByAddress) {
                if (!wantedAddresses.has(address)) {
                    link.close("replaced by a link to another control process");
                }
            }
        }
    }

    /** Closes all links. */
    close(reason: string): void {
        this.linksByAddress.forEach(link => {
            link.close(reason);
        });
    }

    private async runLink(address: string): Promise<void> {
        const failuresBefore = this.failuresByAddress.get(address) ?? 0;
        const link = this.createLink(address, failuresBefore);
        this.linksByAddress.set(address, link);
        await link.run();
        const failures = link.hasResponded ? 0 : failuresBefore + 1;
        this.failuresByAddress.set(address, failures);
        this.onEnded(address);
        await this.clock.sleep(Math.min(minimumReopenDelay * 2 ** Math.max(0, failures - 1), maximumReopenDelay));
        this.linksByAddress.delete(address);
    }
}
