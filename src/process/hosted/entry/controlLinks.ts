import { ControlLink } from "../../../connection/hosted/controlLink.js";
import type { ControlLinkContext } from "../../../connection/hosted/controlLink.js";
import { LinkSet } from "../../../connection/hosted/linkSet.js";
import type { LimitStatement } from "../../../connection/hosted/rateLimitMessages.js";
import type { Milliseconds } from "../../../util/clock.js";
import { splitAddress } from "../../../util/socketAddress.js";
import type { GrantDecision } from "../grantDecision.js";
import type { RetryGrant } from "../retryPolicy.js";
import { heartbeatIntervalFor, selectControls, updateMembers } from "./controlSelection.js";
import { GrantSource } from "./grantSource.js";
import type { StreamOriginAnswer } from "./streamOrigins.js";

/** Age of the newest confirmation above which all linked control processes are asked for one, not only the leader. */
const permitRenewalAge: Milliseconds = 1_000;

/** The same age as a multiple of the heartbeat interval; the longer one applies. */
const permitRenewalHeartbeats = 1.5;

/** Maximum number of known control hosts, far more than an installation has at any time. */
const maximumKnownHosts = 24;

/** Time for which other control processes are preferred to one whose link has ended. */
const linkFailureAvoidanceTime: Milliseconds = 3_000;

/** Maintains the links of this entry to the control processes that it selected, and asks the leader for grants. */
export class ControlLinks extends GrantSource {
    private readonly links: LinkSet<ControlLink>;
    private readonly knownHosts: string[] = [];
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
        super();
        this.links = new LinkSet(context.clock, (address, failures) => this.open(address, failures), address => {
            this.endedAt.set(splitAddress(address).host, context.clock.now());
        });
        this.addHosts(seedHosts);
    }

    /** Adds hosts of control processes; the oldest ones are dropped if there are too many. */
    addHosts(hosts: readonly string[]): void {
        for (const host of hosts) {
            if (!this.knownHosts.includes(host)) {
                this.knownHosts.push(host);
            }
        }
        this.knownHosts.splice(0, this.knownHosts.length - maximumKnownHosts);
    }

    /** Maintains the links and sends heartbeats until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.context;
        while (!signal.aborted) {
            const now = clock.now();
            this.links.setAddresses(this.selectHosts(now).map(host => `${host}:${this.port}`));
            this.sendHeartbeats(now);
            await clock.sleep(heartbeatIntervalFor(this.entryCount()), signal);
        }
        this.links.close("the entry is shutting down");
    }

    /** Sends a heartbeat with the current state of this entry on all links. */
    sendHeartbeats(now: Milliseconds): void {
        const { view, suspensionDetector } = this.context;
        const { links } = this.links;
        const interval = heartbeatIntervalFor(this.entryCount());
        const renewalAge = Math.max(permitRenewalAge, interval * permitRenewalHeartbeats);
        const needsPermit = view.permitAge(suspensionDetector.now()) > renewalAge || !links.some(link => link.isLeader);
        links.forEach(link => {
            link.sendHeartbeat(needsPermit || link.isLeader, interval, now);
        });
    }

    override get leaderId(): string | undefined {
        return this.leaderLink?.address;
    }

    override async requestGrant(
        endpoint: string,
        maximumDelay: Milliseconds,
        statement: LimitStatement | undefined,
    ): Promise<GrantDecision | undefined> {
        return this.leaderLink?.requestGrant(endpoint, maximumDelay, statement);
    }

    override async requestRetry(service: string): Promise<RetryGrant | undefined> {
        return this.leaderLink?.requestRetry(service);
    }

    /** Sends new evidence on all links: any control process may become leader. */
    sendEvidence(): void {
        const now = this.context.clock.now();
        this.links.links.forEach(link => {
            link.sendEvidence(now);
        });
    }

    /** Tells all linked control processes the streams that began at this entry: any of them may become leader. */
    sendStartedStreams(): void {
        const now = this.context.clock.now();
        this.links.links.forEach(link => {
            link.sendStartedStreams(now);
        });
    }

    /** Asks the leader for the origin of a stream, then the other linked control processes if it knows none. */
    async findStreamOrigin(team: string | undefined, callId: string): Promise<StreamOriginAnswer> {
        const { leaderLink } = this;
        const response = await leaderLink?.requestStreamOrigin(team, callId);
        const others = response?.origin === undefined ? this.links.links.filter(link => link !== leaderLink) : [];
        const otherResponses = await Promise.all(others.map(link => link.requestStreamOrigin(team, callId)));
        const origin = [response, ...otherResponses].find(each => each?.origin !== undefined)?.origin;
        return {
            origin: origin && { service: origin.service, softwareVersion: origin.softwareVersion },
            isFromLeader: response !== undefined,
        };
    }

    override async requestTrial(service: string, feature: string, features: readonly string[]): Promise<boolean> {
        return await this.leaderLink?.requestTrial(service, feature, features) ?? false;
    }

    private get leaderLink(): ControlLink | undefined {
        return this.links.links.find(link => link.isLeader);
    }

    private selectHosts(now: Milliseconds): readonly string[] {
        const unreachable = this.knownHosts.filter(host =>
            now - (this.endedAt.get(host) ?? -Infinity) < linkFailureAvoidanceTime
        );
        const { entry, view, suspensionDetector } = this.context;
        const isLinked = this.memberHosts.length > 0 && this.links.links.some(link => link.isUp);
        return selectControls(entry, {
            hosts: isLinked ? this.memberHosts : this.knownHosts,
            leaderHost: this.leaderHost,
            unreachable: new Set(unreachable),
            permitAge: view.permitAge(suspensionDetector.now()),
        });
    }

    private open(address: string, failures: number): ControlLink {
        return new ControlLink(address, failures, {
            ...this.context,
            onControlHosts: (hosts, leaderHost) => {
                this.addHosts(hosts);
                this.memberHosts = updateMembers(this.memberHosts, hosts);
                this.leaderHost = leaderHost ?? this.leaderHost;
            },
        });
    }
}
