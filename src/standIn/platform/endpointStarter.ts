/** What the platform asks for when it starts an endpoint. */
export interface EndpointRequest {
    /** Name that the platform gave the endpoint. */
    readonly endpoint: string;
    readonly pool: string;
    readonly engineKind: string;
    readonly failureDomain: string;
    readonly cheap: boolean;
}

/** An endpoint that runs. */
export interface StartedEndpoint extends AsyncDisposable {
    /** IP number and port. */
    readonly address: string;
    /** Requests that it has taken and not yet answered. */
    readonly runningRequests: number;
    /** Tells it to take nothing more and to say so. */
    announceLeaving(): void;
}

/** Starts the endpoints that the platform was ordered to start. */
export abstract class EndpointStarter {
    /** Resolves when the endpoint serves; rejects when it cannot be started. */
    abstract start(request: EndpointRequest): Promise<StartedEndpoint>;
}
