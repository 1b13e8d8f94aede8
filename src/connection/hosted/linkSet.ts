import type { Clock, Milliseconds } from "../../util/clock.js";

/** Delay before a closed link is reopened. */
const reopenDelay: Milliseconds = 200;

/** A connection that a {@link LinkSet} reopens after it has ended. */
export interface ReopenableLink {
    /** Whether the other side has responded and the connection is open. */
    readonly isUp: boolean;
    /** Resolves when the link has ended. */
    run(): Promise<void>;
    close(reason: string): void;
}

/** Maintains links to a changing set of addresses, and reopens those that end. */
export class LinkSet<Link extends ReopenableLink> {
    private readonly linksByAddress = new Map<string, Link>();

    /**
     * @param createLink Opens a link to an address.
     * @param onEnded Called when a link has ended.
     */
    constructor(
        private readonly clock: Clock,
        private readonly createLink: (address: string) => Link,
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
        const link = this.createLink(address);
        this.linksByAddress.set(address, link);
        await link.run();
        this.onEnded(address);
        await this.clock.sleep(reopenDelay);
        this.linksByAddress.delete(address);
    }
}
