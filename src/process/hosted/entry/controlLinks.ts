import { ControlLink } from "../../../connection/hosted/controlLink.js";
import type { ControlLinkContext } from "../../../connection/hosted/controlLink.js";
import type { Milliseconds } from "../../../util/clock.js";

/** Pause between two beats to each control process. */
const beatInterval: Milliseconds = 400;

/** Age of a confirmation above which every control process is asked for one, not the leader alone. */
const anxiousAge: Milliseconds = 1_000;

/** Pause before a link that ended is opened again. */
const reconnectInterval: Milliseconds = 200;

/** Hosts of control processes that are remembered; far more than an installation has at any time. */
const rememberedHosts = 24;

/** Links of this entry to all control processes that it has heard of. */
export class ControlLinks {
    private readonly links = new Map<string, ControlLink>();
    private readonly hosts: string[] = [];
    private isStopped = false;

    /**
     * @param port Port on which control processes take links.
     * @param seedHosts Hosts of some control processes.
     */
    constructor(
        private readonly context: Omit<ControlLinkContext, "onControlHosts">,
        private readonly port: number,
        seedHosts: readonly string[],
    ) {
        this.learn(seedHosts);
    }

    /** Adds hosts of control processes; those that were learned first give way. */
    learn(hosts: readonly string[]): void {
        for (const host of hosts) {
            if (!this.hosts.includes(host)) {
                this.hosts.push(host);
            }
        }
        this.hosts.splice(0, this.hosts.length - rememberedHosts);
    }

    /** Keeps the links up until the signal ends them. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.context;
        while (!signal.aborted) {
            this.openMissing();
            this.beat(clock.now());
            await clock.sleep(beatInterval, signal);
        }
        this.isStopped = true;
        this.links.forEach(link => {
            link.close("the entry stops");
        });
    }

    /** Tells all control processes at once how this entry stands. */
    beat(now: Milliseconds): void {
        const { view, suspension } = this.context;
        const links = [...this.links.values()];
        const isAnxious = view.permitAge(suspension.now()) > anxiousAge || !links.some(link => link.isLeader);
        links.forEach(link => {
            link.beat(isAnxious || link.isLeader, now);
        });
    }

    private openMissing(): void {
        for (const host of this.hosts) {
            const address = `${host}:${this.port}`;
            if (!this.links.has(address)) {
                void this.keep(address);
            }
        }
    }

    private async keep(address: string): Promise<void> {
        const link = new ControlLink(address, {
            ...this.context,
            onControlHosts: hosts => {
                this.learn(hosts);
            },
        });
        this.links.set(address, link);
        await link.run();
        await this.context.clock.sleep(reconnectInterval);
        if (!this.isStopped) {
            this.links.delete(address);
        }
    }
}
