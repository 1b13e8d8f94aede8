import type { IncomingHttpHeaders } from "node:http";

/** Names of the headers between entries, in lower case; no entry forwards them to an endpoint. */
export const relayHeaderNames = {
    /** Token of the entry that is asked, which only entries of the installation know. */
    token: "gullhall-relay-token",
    /** Team whose key the asking entry has checked, percent-encoded; absent for a call without a key. */
    team: "gullhall-relay-team",
    /** Number of attempts in which the call may have run already. */
    executions: "gullhall-relay-executions",
} as const;

/** A call that another entry has admitted, and that this entry sends to an endpoint for it. */
export interface RelayedCall {
    /** Undefined for a call without a key. */
    readonly team: string | undefined;
    /** Number of attempts in which the call may have run already. */
    readonly executions: number;
}

/** Alternating names and values of the headers for a relayed call. */
export function relayHeadersOf({ team, executions }: RelayedCall, token: string): readonly string[] {
    const teamHeaders = team === undefined ? [] : [relayHeaderNames.team, encodeURIComponent(team)];
    return [relayHeaderNames.token, token, relayHeaderNames.executions, String(executions), ...teamHeaders];
}

/** Parses the headers of a relayed call; undefined if they are malformed. */
export function readRelayedCall(headers: IncomingHttpHeaders): RelayedCall | undefined {
    const executions = Number(headers[relayHeaderNames.executions]);
    const team = headers[relayHeaderNames.team];
    if (!Number.isSafeInteger(executions) || executions < 0 || Array.isArray(team)) {
        return undefined;
    }
    try {
        return { team: team === undefined ? undefined : decodeURIComponent(team), executions };
    }
    catch {
        return undefined;
    }
}
