import { ControlLink } from "../../../connection/hosted/controlLink.js";
import type { ControlLinkContext } from "../../../connection/hosted/controlLink.js";
import { LinkSet } from "../../../connection/hosted/linkSet.js";
import type { Milliseconds } from "../../../util/clock.js";
import { splitAddress } from "../../../util/socketAddress.js";
import { beatIntervalFor, chooseControls, membersAfter } from "./controlChoice.js";

/** Age of the newest confirmation above which all linked control processes are asked for one, not only the leader. */
const anxiousAge: Milliseconds = 1_000;

/** The same age as a multiple of the heartbeat interval; the longer one applies. */
const anxiousBeats = 1.5;

/** Maximum number of known control hosts, far more than an installation has at any time. */
const rememberedHosts = 24;

/** Time for which other control processes are preferred to one whose link has ended. */
const avoidedTime: Milliseconds = 3_000;

/** Maintains the links of this entry to the control processes that it selected. */
export class ControlLinks {
    private readonly links: LinkSet<ControlLink>;
    private readonly hosts: string[] = [];
    private readonly endedAt = new Map<string, Milliseconds>();
    private leaderHost: string | undefined;
    /** Hosts of the group's members, by the newest heartbeat response. */
    private memberHosts: readonly string[] = [];

    /**
     * @param port Port on which control processes accept links.
     * @param seedHosts Hosts of some control processes, for discovery.
     * @param entryCount Number of entries that are serving.
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

    /** Adds hosts of control processes; the oldest ones are dropped if there are too many. */
    learn(hosts: readonly string[]): void {
        for (const host of hosts) {
            if (!this.hosts.includes(host)) {
                this.hosts.push(host);
            }
        }
        this.hosts.splice(0, this.hosts.length - rememberedHosts);
    }

    /** Maintains the links and sends heartbeats until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.context;
        while (!signal.aborted) {
            const now = clock.now();
            this.links.keep(this.chosenHosts(now).map(host => `${host}:${this.port}`));
            this.beat(now);
            await clock.sleep(beatIntervalFor(this.entryCount()), signal);
        }
        this.links.close("the entry is shutting down");
    }

    /** Sends a heartbeat with the current state of this entry on all links. */
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
