import { z } from "zod";
import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import type { OrderedEndpoint } from "./orderedFleet.js";

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

/** The platform's list of VMs as of `listedAt`. */
export type VmList = z.output<typeof vmListSchema>;

/** A VM as the platform lists it. */
export type ListedVm = z.output<typeof listedVmSchema>;

/** Known state that the list is compared with. */
export interface ReconciliationView {
    readonly ordered: readonly OrderedEndpoint[];
    /** Names of the endpoints configured in the manifest. */
    readonly configured: ReadonlySet<string>;
    /** Failure domains with an unanswered order, whose endpoints may be listed already. */
    readonly domainsWithOpenOrders: ReadonlySet<string>;
    /** Endpoints that were released shortly before the list was made, or since then. */
    readonly recentlyStopped: ReadonlySet<string>;
    /** Endpoints that an entry has reached since the list was made. */
    readonly reachedByEntries: ReadonlySet<string>;
}

/** A difference between the list and the known state. */
export type VmFinding =
    /** The platform is reclaiming the endpoint; it must get no new calls from now on. */
    | { readonly kind: "leaving"; readonly endpoint: OrderedEndpoint; readonly leavesAt: UnixMilliseconds | undefined; }
    /** The endpoint is no longer listed, and no entry reaches it. */
    | { readonly kind: "gone"; readonly endpoint: OrderedEndpoint; }
    /** The endpoint was not ordered by this system; it is reported and otherwise ignored. */
    | { readonly kind: "notOrdered"; readonly vm: ListedVm; };

/** Maximum time by which the list may lag behind a grant. */
export const maximumListLag: Milliseconds = 60_000;

/** Compares a list with the ordered endpoints; the list may be older than the known state. */
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
    const shouldBeListed = endpoint.state === "leaving" || list.listedAt > endpoint.grantedAt + maximumListLag;
    if (vm === undefined && shouldBeListed && !view.reachedByEntries.has(endpoint.endpoint)) {
        return { kind: "gone", endpoint };
    }
    return undefined;
}
