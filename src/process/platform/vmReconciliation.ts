import { z } from "zod";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { OrderedEndpoint } from "./fleet.js";

const listedVmSchema = z.object({
    endpoint: z.string().min(1).max(256),
    address: z.string().max(256),
    failureDomain: z.string(),
    pool: z.string(),
    cheap: z.boolean(),
    state: z.enum(["live", "leaving"]),
    leavesAt: z.number().optional(),
}).readonly();

/** Schema of the platform's list of VMs. */
export const vmListSchema = z.object({
    listedAt: z.number(),
    vms: z.array(listedVmSchema).max(100_000).readonly(),
}).readonly();

/** The platform's list of VMs at some past moment. */
export type VmList = z.output<typeof vmListSchema>;

/** One VM of the list. */
export type ListedVm = z.output<typeof listedVmSchema>;

/** What this system knows and compares with the list. */
export interface ReconciliationView {
    readonly ordered: readonly OrderedEndpoint[];
    /** Names of endpoints that the manifest lists itself. */
    readonly configured: ReadonlySet<string>;
    /** Failure domains with an order whose answer is still open; its endpoints may be listed already. */
    readonly domainsWithOpenOrders: ReadonlySet<string>;
    /** Endpoints that were given back shortly before the list was made, or since. */
    readonly recentlyStopped: ReadonlySet<string>;
    /** Endpoints that some entry has reached since the list was made. */
    readonly reachedByEntries: ReadonlySet<string>;
}

/** A difference between the list and what this system knows. */
export type VmFinding =
    /** The platform takes the endpoint back; it gets nothing new from now on. */
    | { readonly kind: "leaving"; readonly endpoint: OrderedEndpoint; readonly leavesAt: UnixMilliseconds | undefined; }
    /** The endpoint was listed no longer, and no entry reaches it. */
    | { readonly kind: "gone"; readonly endpoint: OrderedEndpoint; }
    /** Nobody ordered the endpoint; it is reported and otherwise left alone. */
    | { readonly kind: "notOrdered"; readonly vm: ListedVm; };

/** How far the list may lag behind a grant. */
export const longestListLag: Milliseconds = 60_000;

/** Compares a list with the ordered endpoints; the list may be older than what this system knows. */
export function reconcileVms(list: VmList, view: ReconciliationView): readonly VmFinding[] {
    const listed = new Map(list.vms.map(vm => [vm.endpoint, vm]));
    const ordered = new Set(view.ordered.map(({ endpoint }) => endpoint));
    const known = view.ordered.map(endpoint => findingOf(endpoint, listed.get(endpoint.endpoint), list, view));
    const unknown = list.vms
        .filter(vm => !ordered.has(vm.endpoint) && !view.configured.has(vm.endpoint))
        .filter(vm => !view.recentlyStopped.has(vm.endpoint))
        .filter(vm => vm.state === "live" && !view.domainsWithOpenOrders.has(vm.failureDomain))
        .map((vm): VmFinding => ({ kind: "notOrdered", vm }));
    return [...known.filter(finding => finding !== undefined), ...unknown];
}

function findingOf(
    endpoint: OrderedEndpoint,
    vm: ListedVm | undefined,
    list: VmList,
    view: ReconciliationView,
): VmFinding | undefined {
    if (vm?.state === "leaving" && endpoint.state !== "leaving") {
        return { kind: "leaving", endpoint, leavesAt: vm.leavesAt };
    }
    const shouldBeListed = endpoint.state === "leaving" || list.listedAt > endpoint.grantedAt + longestListLag;
    if (vm === undefined && shouldBeListed && !view.reachedByEntries.has(endpoint.endpoint)) {
        return { kind: "gone", endpoint };
    }
    return undefined;
}
