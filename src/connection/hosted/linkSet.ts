import type { Clock, Milliseconds } from "../../util/clock.js";

/** Pause before a link that ended is opened again. */
const reconnectInterval: Milliseconds = 200;

/** A link that can be opened anew when it has ended. */
export interface KeptLink {
    /** Whether the other side has answered. */
    readonly isUp: boolean;
    /** Resolves when the link has ended. */
    run(): Promise<void>;
    close(reason: string): void;
}

/** Links to a changing set of addresses, opened again whenever they end. */
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

    /** Opens links to the addresses; those to other ones are closed once all of these are up. */
    setAddresses(addresses: readonly string[]): void {
        const wanted = new Set(addresses);
        for (const address of wanted) {
            if (!this.opened.has(address)) {
                void this.hold(address);
            }
        }
        if (addresses.every(address => this.opened.get(address)?.isUp === true)) {
            for (const [address, link] of this.opened) {
                if (!wanted.has(address)) {
                    link.close("another control process takes its place");
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
