import assert from "node:assert";
import type { PeerRequest, PeerResponse } from "../../../src/connection/peerMessage.js";
import type { PeerRequestHandler } from "../../../src/connection/peerNetwork.js";
import { PeerNetwork } from "../../../src/connection/peerNetwork.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import type { VirtualProcess, VirtualTime } from "./virtualTime.js";

/** A process that is reachable at an address. */
interface Host {
    readonly process: VirtualProcess;
    readonly handler: PeerRequestHandler;
}

/**
 * Network links between virtual processes: they delay, reorder, drop and duplicate messages, and can be blocked one
 * way.
 */
export class VirtualLinks {
    /** Blocked directions, as `from>to`. */
    readonly blockedDirections = new Set<string>();
    /** Probability that a message is dropped, and that one is duplicated. */
    lossRate = 0;
    /** Probability that a message is delayed by up to another half second, so that others overtake it. */
    delayRate = 0;
    /** Minimum one-way delay. */
    minimumDelayMilliseconds = 0.2;
    readonly hosts = new Map<string, Host>();

    constructor(readonly time: VirtualTime, private readonly random: RandomSource) {}

    /** Transmits a message once, twice or never. */
    transmit(from: string, to: string, deliver: () => void): void {
        if (this.random.float() < this.lossRate) {
            return;
        }
        const copies = this.random.float() < this.lossRate ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            const extraDelay = this.random.float() < this.delayRate ? 500 * this.random.float() : 0;
            this.time.schedule(this.minimumDelayMilliseconds + this.random.exponential(1) + extraDelay, () => {
                if (!this.blockedDirections.has(`${from}>${to}`)) {
                    deliver();
                }
            });
        }
    }
}

/** The peer network of one virtual process. */
export class VirtualNetwork extends PeerNetwork {
    constructor(
        private readonly links: VirtualLinks,
        private readonly address: string,
        private readonly process: VirtualProcess,
        /**
         * Called for each vote that is requested or granted, with the voter's or candidate's address, term and
         * candidate.
         */
        private readonly onVote: (address: string, term: number, candidate: string) => void,
    ) {
        super();
    }

    override async request(
        address: string,
        request: PeerRequest,
        timeout: number,
    ): Promise<PeerResponse | undefined> {
        if (request.kind === "vote") {
            this.onVote(this.address, request.term, request.from);
        }
        return new Promise(resolve => {
            this.links.time.schedule(timeout, () => {
                this.process.run(() => {
                    resolve(undefined);
                });
            });
            this.links.transmit(this.address, address, () => {
                const host = this.links.hosts.get(address);
                host?.process.run(() => {
                    void host.handler.handle(request).then(response => {
                        if (request.kind === "vote" && response?.kind === "vote" && response.granted) {
                            this.onVote(address, request.term, request.from);
                        }
                        this.links.transmit(address, this.address, () => {
                            this.process.run(() => {
                                resolve(response);
                            });
                        });
                    });
                });
            });
        });
    }

    override register(group: string, handler: PeerRequestHandler): Disposable {
        assert(group === "main");
        this.links.hosts.set(this.address, { process: this.process, handler });
        return {
            [Symbol.dispose]: () => {
                this.links.hosts.delete(this.address);
            },
        };
    }
}
