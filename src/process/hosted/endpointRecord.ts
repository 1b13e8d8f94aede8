import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import { isSocketAddress } from "../../util/socketAddress.js";

/** An endpoint as listed by the platform. */
export interface EndpointRecord {
    /** Identifier of the endpoint; a restarted endpoint may keep it. */
    readonly id: string;
    readonly service: string;
    /** Host and port. */
    readonly address: string;
    readonly failureDomain: string;
    /** Maximum number of concurrently running calls. */
    readonly slots: number;
    /** Whether the endpoint is about to stop and accepts no new calls. */
    readonly isLeaving: boolean;
    /** Remaining time for which the endpoint is slow after its start, in milliseconds, as of the listing. */
    readonly warmUpTime: Milliseconds;
    /** Start time; undefined if the platform does not state it. */
    readonly startedAt?: UnixMilliseconds | undefined;
    /**
     * Version of the endpoint's software, a name without an order; undefined if the platform does not state it. Unrelated
     * to the version of a model's weights.
     */
    readonly softwareVersion?: string | undefined;
    /** Whether the endpoint runs on spot capacity, which the platform may reclaim. */
    readonly isSpot: boolean;
}

/** The characters that a header may contain without further rules (RFC 9110, section 5.5). */
const visibleCharacters = /^[\x21-\x7e]+$/;

/** Whether calls can be addressed to an endpoint; an attempt to do so would throw otherwise. */
export function isCallable({ id, address }: EndpointRecord): boolean {
    return isSocketAddress(address) && visibleCharacters.test(id);
}

/**
 * Identifies one run of an endpoint: a restarted endpoint may keep its id, but not its caches and connections, nor its
 * software version.
 */
export function incarnationKey({ id, address, startedAt, softwareVersion }: EndpointRecord): string {
    return JSON.stringify([id, address, startedAt, softwareVersion]);
}

/** What is known of an endpoint's run, from all rows that listed it. */
export type KnownRun = Pick<EndpointRecord, "id" | "address" | "startedAt" | "softwareVersion">;

/**
 * Whether a row may be of a known run: it states nothing that was not known of it. A row that states less than another
 * one does not show that the endpoint was restarted.
 */
export function mayBeRun(known: KnownRun, { id, address, startedAt, softwareVersion }: KnownRun): boolean {
    return known.id === id && known.address === address
        && (startedAt === undefined || startedAt === known.startedAt)
        && (softwareVersion === undefined || softwareVersion === known.softwareVersion);
}
