import { ControlLink } from "../../../connection/hosted/controlLink.js";
import type { ControlLinkContext } from "../../../connection/hosted/controlLink.js";
import { LinkSet } from "../../../connection/hosted/linkSet.js";
import type { Milliseconds } from "../../../util/clock.js";
import { splitAddress } from "../../../util/socketAddress.js";
import { beatIntervalFor, chooseControls, membersAfter } from "./controlSelection.js";

/** Age of a confirmation above which every linked control process is asked for one, not the leader alone. */
const anxiousAge: Milliseconds = 1_000;

/** Pauses between beats after which a confirmation is too old as well, where these are long. */
const anxiousBeats = 1.5;

/** Hosts of control processes that are remembered; far more than an installation has at any time. */
const rememberedHosts = 24;

/** How long a control process whose link has ended gives way to others. */
const avoidedTime: Milliseconds = 3_000;

/** Links of this entry to the control processes that it has chosen. */
export class ControlLinks {
    private readonly links: LinkSet<ControlLink>;
    private readonly hosts: string[] = [];
    private readonly endedAt = new Map<string, Milliseconds>();
    private leaderHost: string | undefined;
    /** Hosts of the control processes that belong to the group, by the newest answer. */
    private memberHosts: readonly string[] = [];

    /**
     * @param port Port on which control processes take links.
     * @param seedHosts Hosts of some control processes.
     * @param entryCount Number of entries that serve.
     */
    constructor(
        private readonly context: Omit<ControlLinkContext, "onControlHosts">,
        private readonly port: number,
        seedHosts: readonly string[],
        private readonly entryCount: () => number,
    ) {
        this.links = new LinkSet(context.clock, address => this.open(address), address => {
            this.endedAt.set(splitAddress(address).host, context.clock.now());
        });
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
            const now = clock.now();
            this.links.setAddresses(this.chosenHosts(now).map(host => `${host}:${this.port}`));
            this.beat(now);
            await clock.sleep(beatIntervalFor(this.entryCount()), signal);
        }
        this.links.close("the entry stops");
    }

    /** Tells the linked control processes at once how this entry stands. */
    beat(now: Milliseconds): void {
        const { view, suspension } = this.context;
        const { links } = this.links;
        const interval = beatIntervalFor(this.entryCount());
        const oldAge = Math.max(anxiousAge, interval * anxiousBeats);
        const isAnxious = view.permitAge(suspension.now()) > oldAge || !links.some(link => link.isLeader);
        links.forEach(link => {
            link.beat(isAnxious || link.isLeader, interval, now);
        });
    }

    private chosenHosts(now: Milliseconds): readonly string[] {
        const unreachable = this.hosts.filter(host => now - (this.endedAt.get(host) ?? -Infinity) < avoidedTime);
        const { entry, view, suspension } = this.context;
        const isLinked = this.memberHosts.length > 0 && this.links.links.some(link => link.isUp);
        return chooseControls(entry, {
            hosts: isLinked ? this.memberHosts : this.hosts,
            leaderHost: this.leaderHost,
            unreachable: new Set(unreachable),
            permitAge: view.permitAge(suspension.now()),
        });
    }

    private open(address: string): ControlLink {
        return new ControlLink(address, {
            ...this.context,
            onControlHosts: (hosts, leaderHost) => {
                this.learn(hosts);
                this.memberHosts = membersAfter(this.memberHosts, hosts);
                this.leaderHost = leaderHost ?? this.leaderHost;
            },
        });
    }
}
