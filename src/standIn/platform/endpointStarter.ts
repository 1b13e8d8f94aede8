/** The parameters of an endpoint to start. */
export interface EndpointStartRequest {
    /** Name that the platform assigned to the endpoint. */
    readonly endpoint: string;
    readonly pool: string;
    readonly engineKind: string;
    readonly failureDomain: string;
    readonly cheap: boolean;
}

/** A running endpoint; disposing it stops it. */
export interface StartedEndpoint extends AsyncDisposable {
    /** IP address and port. */
    readonly address: string;
    /** Number of accepted requests that are not yet finished. */
    readonly runningRequests: number;
    /** Makes the endpoint reject new work and report that it is leaving. */
    announceLeaving(): void;
}

/** Starts endpoints on behalf of the platform. */
export abstract class EndpointStarter {
    /** Resolves when the endpoint accepts requests; rejects when it cannot be started. */
    abstract start(request: EndpointStartRequest): Promise<StartedEndpoint>;
}
