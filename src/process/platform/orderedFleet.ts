import type { UnixMilliseconds } from "../../util/clock.js";
import type { EndpointState, GrantedEndpoint, ObserveEndpoint } from "./platformCommand.js";

/** An endpoint that this system has ordered and not yet released. */
export interface OrderedEndpoint extends GrantedEndpoint {
    readonly state: EndpointState;
    /** Id of the act that ordered it. */
    readonly actId: string;
    readonly grantedAt: UnixMilliseconds;
    /** When its state last changed. */
    readonly changedAt: UnixMilliseconds;
    /** Model version that it serves; undefined if not known. */
    readonly version: string | undefined;
}

/** The endpoints that this system has ordered and not yet released, by name. */
export class OrderedFleet {
    private readonly endpoints = new Map<string, OrderedEndpoint>();

    find(endpoint: string): OrderedEndpoint | undefined {
        return this.endpoints.get(endpoint);
    }

    list(): readonly OrderedEndpoint[] {
        return [...this.endpoints.values()];
    }

    /** Adds granted endpoints in state `starting`. */
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

    /** Removes an endpoint that was released or is gone. */
    remove(endpoint: string): void {
        this.endpoints.delete(endpoint);
    }

    /** Applies an observed state. A leaving or draining endpoint never becomes live; unknown endpoints are ignored. */
    observe(command: ObserveEndpoint): void {
        const known = this.endpoints.get(command.endpoint);
        if (known === undefined) {
            return;
        }
        if (command.state === "gone") {
            this.remove(command.endpoint);
            return;
        }
        const keepsState = known.state === "leaving" || (known.state === "draining" && command.state !== "leaving");
        const state = keepsState ? known.state : command.state;
        const changedAt = state === known.state ? known.changedAt : command.at;
        this.endpoints.set(command.endpoint, { ...known, state, changedAt, version: command.version ?? known.version });
    }

    /** Replaces all endpoints. */
    restore(endpoints: readonly OrderedEndpoint[]): void {
        this.endpoints.clear();
        endpoints.forEach(endpoint => this.endpoints.set(endpoint.endpoint, endpoint));
    }
}
