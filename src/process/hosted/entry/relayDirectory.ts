import type { Agent } from "node:http";
import { ClientAgent } from "../../../connection/clientAgent.js";
import type { RelayOffer } from "../../../connection/hosted/linkMessages.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";
import { isSocketAddress } from "../../../util/socketAddress.js";

/** Time after which an entry that control processes no longer name is not asked any more. */
const offerLifetime: Milliseconds = 3_000;

/** An entry that sends calls to endpoints for this one. */
export interface Relay {
    readonly entry: string;
    /** Host and port. */
    readonly address: string;
    readonly token: string;
    readonly agent: Agent;
}

interface KnownRelay extends Relay {
    readonly expiresAt: Milliseconds;
    runningCalls: number;
}

/** The entries that control processes name to an entry that is cut off from all endpoints. */
export class RelayDirectory implements Disposable {
    private readonly relays = new Map<string, KnownRelay>();
    /** Tokens that their entries did not accept, by address; control processes may name them for a while. */
    private readonly rejectedTokens = new Map<string, string>();

    constructor(private readonly random: RandomSource) {}

    /** Replaces the entries that may be asked; connections to those that stay are kept. */
    applyOffers(offers: readonly RelayOffer[], now: Milliseconds): void {
        for (const { entry, address, token } of offers.filter(offer => isSocketAddress(offer.address))) {
            if (this.rejectedTokens.get(address) === token) {
                continue;
            }
            this.rejectedTokens.delete(address);
            const known = this.relays.get(address);
            const agent = known?.agent ?? new ClientAgent({ keepAlive: true, noDelay: true });
            const runningCalls = known?.runningCalls ?? 0;
            this.relays.set(address, { entry, address, token, agent, runningCalls, expiresAt: now + offerLifetime });
        }
        for (const [address, { agent, expiresAt, runningCalls }] of this.relays) {
            if (now >= expiresAt && runningCalls === 0) {
                agent.destroy();
                this.relays.delete(address);
            }
        }
    }

    /** Chooses the less used one of two entries at random; undefined if there is none that was not tried. */
    choose(tried: ReadonlySet<string>, now: Milliseconds): Relay | undefined {
        const usable = [...this.relays.values()].filter(({ address, expiresAt }) =>
            now < expiresAt && !tried.has(address)
        );
        const first = this.random.pick(usable);
        const second = this.random.pick(usable);
        return first !== undefined && second !== undefined && second.runningCalls < first.runningCalls ? second : first;
    }

    /** Stops asking an entry that did not accept its token, until control processes name a new one. */
    reject({ address, token, agent }: Relay): void {
        if (this.relays.get(address)?.token === token) {
            agent.destroy();
            this.relays.delete(address);
            this.rejectedTokens.set(address, token);
        }
    }

    /** Counts a call at an entry until it has ended. */
    async countWhile<T>({ address }: Relay, call: Promise<T>): Promise<T> {
        this.changeRunning(address, 1);
        return call.finally(() => {
            this.changeRunning(address, -1);
        });
    }

    [Symbol.dispose](): void {
        this.relays.forEach(({ agent }) => {
            agent.destroy();
        });
    }

    private changeRunning(address: string, change: number): void {
        const relay = this.relays.get(address);
        if (relay !== undefined) {
            relay.runningCalls += change;
        }
    }
}
