import type { Clock, Milliseconds } from "../../util/clock.js";

/** Delay before a closed link is reopened. */
const reconnectInterval: Milliseconds = 200;

/** A connection that a {@link LinkSet} reopens after it has ended. */
export interface KeptLink {
    /** Whether the other side has responded and the connection is open. */
    readonly isUp: boolean;
    /** Resolves when the link has ended. */
    run(): Promise<void>;
    close(reason: string): void;
}

/** Maintains links to a changing set of addresses, and reopens those that end. */
export class LinkSet<Link extends KeptLink> {
    private readonly opened = new Map<string, Link>();

    /**
     * @param open Opens a link to an address.
     * @param onEnded Called when a link has ended.
     */
    constructor(
        private readonly clock: Clock,
        private readonly open: (address: string) => Link,
        private readonly onEnded: (address: string) => void = () => undefined,
    ) {}

    get links(): readonly Link[] {
        return [...this.opened.values()];
    }

    /** Sets the addresses to link to; links to other addresses are closed once all links to these are up. */
    keep(addresses: readonly string[]): void {
        const wanted = new Set(addresses);
        for (const address of wanted) {
            if (!this.opened.has(address)) {
                void this.hold(address);
            }
        }
        if (addresses.every(address => this.opened.get(address)?.isUp === true)) {
            for (const [address, link] of this.opened) {
                if (!wanted.has(address)) {
                    link.close("replaced by a link to another control process");
                }
            }
        }
    }

    /** Closes all links. */
    close(reason: string): void {
        this.opened.forEach(link => {
            link.close(reason);
        });
    }

    private async hold(address: string): Promise<void> {
        const link = this.open(address);
        this.opened.set(address, link);
        await link.run();
        this.onEnded(address);
        await this.clock.sleep(reconnectInterval);
        this.opened.delete(address);
    }
}
