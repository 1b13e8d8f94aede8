import type { UnixMilliseconds } from "../../util/clock.js";
import type { EndpointState, GrantedEndpoint, ObserveEndpoint } from "./platformCommand.js";

/** An endpoint that this system ordered and has not given back. */
export interface OrderedEndpoint extends GrantedEndpoint {
    readonly state: EndpointState;
    /** Act by which it was ordered. */
    readonly actId: string;
    readonly grantedAt: UnixMilliseconds;
    /** When its state last changed. */
    readonly changedAt: UnixMilliseconds;
    readonly version: string | undefined;
}

/** Endpoints that were ordered, by name. */
export class Fleet {
    private readonly endpoints = new Map<string, OrderedEndpoint>();

    /** The ordered endpoint of this name. */
    find(endpoint: string): OrderedEndpoint | undefined {
        return this.endpoints.get(endpoint);
    }

    /** Every ordered endpoint. */
    list(): readonly OrderedEndpoint[] {
        return [...this.endpoints.values()];
    }

    /** Takes granted endpoints in. */
    add(granted: readonly GrantedEndpoint[], actId: string, at: UnixMilliseconds): void {
        for (const endpoint of granted) {
            this.endpoints.set(endpoint.endpoint, {
                ...endpoint,
                state: "starting",
                actId,
                grantedAt: at,
                changedAt: at,
                version: undefined,
            });
        }
    }

    /** Removes an endpoint that was given back or is gone. */
    remove(endpoint: string): void {
        this.endpoints.delete(endpoint);
    }

    /** Records a change; a leaving or draining endpoint never becomes live again. */
    observe(command: ObserveEndpoint): void {
        const known = this.endpoints.get(command.endpoint);
        if (known === undefined) {
            return;
        }
        if (command.state === "gone") {
            this.remove(command.endpoint);
            return;
        }
        const ends = known.state === "leaving" || (known.state === "draining" && command.state !== "leaving");
        const state = ends ? known.state : command.state;
        const changedAt = state === known.state ? known.changedAt : command.at;
        this.endpoints.set(command.endpoint, { ...known, state, changedAt, version: command.version ?? known.version });
    }

    /** Replaces all endpoints. */
    restore(endpoints: readonly OrderedEndpoint[]): void {
        this.endpoints.clear();
        endpoints.forEach(endpoint => this.endpoints.set(endpoint.endpoint, endpoint));
    }
}
