import assert from "node:assert";
import type { PeerRequest, PeerResponse } from "../../../src/connection/peerMessage.js";
import type { PeerRequestHandler } from "../../../src/connection/peerNetwork.js";
import { PeerNetwork } from "../../../src/connection/peerNetwork.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import type { VirtualProcess, VirtualTime } from "./virtualTime.js";

/** A process that can be reached at an address. */
interface Host {
    readonly process: VirtualProcess;
    readonly handler: PeerRequestHandler;
}

/** The wires between virtual processes: they delay, reorder, lose and repeat, and can be cut in each direction. */
export class VirtualWires {
    /** Cut directions, as `from>to`. */
    readonly cut = new Set<string>();
    /** Share of messages that are lost, and as many that arrive twice. */
    lossRate = 0;
    /** Share of messages that are late by up to half a second, and so overtaken by others. */
    lateRate = 0;
    /** Shortest time on the way, in milliseconds. */
    leastDelay = 0.2;
    readonly hosts = new Map<string, Host>();

    constructor(readonly time: VirtualTime, private readonly random: RandomSource) {}

    /** Carries a message, once, twice or never. */
    carry(from: string, to: string, deliver: () => void): void {
        if (this.random.float() < this.lossRate) {
            return;
        }
        const copies = this.random.float() < this.lossRate ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            const late = this.random.float() < this.lateRate ? 500 * this.random.float() : 0;
            this.time.schedule(this.leastDelay + this.random.exponential(1) + late, () => {
                if (!this.cut.has(`${from}>${to}`)) {
                    deliver();
                }
            });
        }
    }
}

/** One process's way to the others. */
export class VirtualNetwork extends PeerNetwork {
    constructor(
        private readonly wires: VirtualWires,
        private readonly address: string,
        private readonly process: VirtualProcess,
        /** Hears of each vote that is asked for or given, with its term and candidate. */
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
            this.wires.time.schedule(timeout, () => {
                this.process.run(() => {
                    resolve(undefined);
                });
            });
            this.wires.carry(this.address, address, () => {
                const host = this.wires.hosts.get(address);
                host?.process.run(() => {
                    void host.handler.handle(request).then(response => {
                        if (request.kind === "vote" && response?.kind === "vote" && response.granted) {
                            this.onVote(address, request.term, request.from);
                        }
                        this.wires.carry(address, this.address, () => {
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
        this.wires.hosts.set(this.address, { process: this.process, handler });
        return {
            [Symbol.dispose]: () => {
                this.wires.hosts.delete(this.address);
            },
        };
    }
}
