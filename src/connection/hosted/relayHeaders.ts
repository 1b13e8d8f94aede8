import type { IncomingHttpHeaders } from "node:http";
import { z } from "zod";
import type { KnownRun } from "../../process/hosted/endpointRecord.js";
import type { StreamOrigin } from "../../process/hosted/streamOrigin.js";

/** Names of the headers between entries, in lower case; no entry forwards them to an endpoint or a caller. */
export const relayHeaderNames = {
    /** Token of the entry that is asked, which only entries of the installation know. */
    token: "gullhall-relay-token",
    /** Team whose key the asking entry has checked, percent-encoded; absent for a call without a key. */
    team: "gullhall-relay-team",
    /** Number of attempts in which the call may have run already. */
    executions: "gullhall-relay-executions",
    /**
     * In a request: version of the configuration by which the asking entry admitted the call; entries of earlier builds
     * do not send it, and get none of the response headers. In a response: version at the entry that was asked.
     */
    version: "gullhall-relay-version",
    /** What began the stream that a request continues, or that a response begins: percent-encoded JSON. */
    origin: "gullhall-relay-origin",
    /**
     * In a request: the asking entry understands this header. In an endpoint's response: the run of that endpoint, as
     * percent-encoded JSON.
     */
    endpoint: "gullhall-relay-endpoint",
    /** In a response: whether it is one of the entry itself or of an endpoint, see {@link ResponseSource}. */
    source: "gullhall-relay-source",
} as const;

/** Who a response to a relayed call is from. */
export type ResponseSource = "entry" | "endpoint";

/** Header by which a sender lists further hop-by-hop headers (RFC 9110, section 7.6.1). */
const connectionHeader = "connection";

const runSchema = z.object({
    id: z.string(),
    address: z.string(),
    startedAt: z.number().optional(),
    softwareVersion: z.string().optional(),
});

const originSchema = z.object({ service: z.string(), softwareVersion: z.string() });

/** A call that another entry has admitted, and that this entry sends to an endpoint for it. */
export interface RelayedCall {
    /** Undefined for a call without a key. */
    readonly team: string | undefined;
    /** Number of attempts in which the call may have run already. */
    readonly executions: number;
    /** Version of the configuration that admitted the call; undefined if the asking entry does not state it. */
    readonly version: number | undefined;
    /** What began the stream that the call continues; undefined if it begins one, or if that is not known. */
    readonly origin: StreamOrigin | undefined;
    /** Whether the asking entry understands which endpoint a response is of. */
    readonly understandsEndpoint: boolean;
}

/** Alternating names and values of the headers for a relayed call. */
export function relayHeadersOf(call: Omit<RelayedCall, "understandsEndpoint">, token: string): readonly string[] {
    const { team, executions, version, origin } = call;
    const headers = [relayHeaderNames.token, token, relayHeaderNames.executions, String(executions)];
    if (team !== undefined) {
        headers.push(relayHeaderNames.team, encodeURIComponent(team));
    }
    if (version !== undefined) {
        headers.push(relayHeaderNames.version, String(version));
    }
    if (origin !== undefined) {
        headers.push(relayHeaderNames.origin, formatOrigin(origin));
    }
    headers.push(relayHeaderNames.endpoint, "1");
    // Entries of earlier builds do not know these by themselves, and would forward them to the endpoint.
    const { version: versionName, origin: originName, endpoint } = relayHeaderNames;
    headers.push(connectionHeader, `keep-alive, ${versionName}, ${originName}, ${endpoint}`);
    return headers;
}

/** Parses the headers of a relayed call; undefined if they are malformed. */
export function readRelayedCall(headers: IncomingHttpHeaders): RelayedCall | undefined {
    const executions = Number(headers[relayHeaderNames.executions]);
    const team = headers[relayHeaderNames.team];
    if (!Number.isSafeInteger(executions) || executions < 0 || Array.isArray(team)) {
        return undefined;
    }
    try {
        return {
            team: team === undefined ? undefined : decodeURIComponent(team),
            executions,
            version: readRelayVersion(headers),
            origin: readRelayOrigin(headers),
            understandsEndpoint: headers[relayHeaderNames.endpoint] !== undefined,
        };
    }
    catch {
        return undefined;
    }
}

/** The version of the configuration that the other entry states; undefined if it states none. */
export function readRelayVersion(headers: IncomingHttpHeaders): number | undefined {
    const version = Number(headers[relayHeaderNames.version]);
    return Number.isSafeInteger(version) && version > 0 ? version : undefined;
}

/** The header value for an origin. */
export function formatOrigin({ service, softwareVersion }: StreamOrigin): string {
    return encodeURIComponent(JSON.stringify({ service, softwareVersion }));
}

/** What began a stream, as the other entry states it; undefined if it states nothing that can be read. */
export function readRelayOrigin(headers: IncomingHttpHeaders): StreamOrigin | undefined {
    return readEncoded(headers[relayHeaderNames.origin], originSchema);
}

/** The header value for the run of an endpoint. */
export function formatRun({ id, address, startedAt, softwareVersion }: KnownRun): string {
    return encodeURIComponent(JSON.stringify({ id, address, startedAt, softwareVersion }));
}

/** The run of the endpoint that sent a response; undefined if the other entry states none that can be read. */
export function readRelayedRun(headers: IncomingHttpHeaders): KnownRun | undefined {
    return readEncoded(headers[relayHeaderNames.endpoint], runSchema);
}

function readEncoded<T>(value: string | readonly string[] | undefined, schema: z.ZodType<T>): T | undefined {
    try {
        const text = decodeURIComponent(String(value ?? ""));
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
