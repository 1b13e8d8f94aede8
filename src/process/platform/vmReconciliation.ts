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

/** Maximum length of the description of a row that cannot be read. */
const maximumDescriptionLength = 160;

/** The name of the endpoint in a row that cannot be read otherwise. */
const namedRowSchema = z.object({ endpoint: z.string().min(1).max(256) });

/** Schema of the platform's list of VMs; rows that cannot be read are left out. */
export const vmListSchema = z.object({ listedAt: z.number(), vms: z.array(z.unknown()).max(100_000) })
    .transform(({ listedAt, vms }) => ({ listedAt, ...readRows(vms) }));

/** The platform's list of VMs as of `listedAt`. */
export interface VmList {
    readonly listedAt: UnixMilliseconds;
    readonly vms: readonly ListedVm[];
    /** Names of the endpoints whose rows cannot be read, as far as the rows have one. */
    readonly unreadableEndpoints: ReadonlySet<string>;
    /** Why rows cannot be read, with a bounded length for each. */
    readonly unreadableRows: readonly string[];
}

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

function readRows(rows: readonly unknown[]): Omit<VmList, "listedAt"> {
    const vms: ListedVm[] = [];
    const unreadableEndpoints = new Set<string>();
    const unreadableRows: string[] = [];
    for (const row of rows) {
        const read = listedVmSchema.safeParse(row);
        if (read.success) {
            vms.push(read.data);
            continue;
        }
        const endpoint = namedRowSchema.safeParse(row).data?.endpoint;
        if (endpoint !== undefined) {
            unreadableEndpoints.add(endpoint);
        }
        const [issue] = read.error.issues;
        const text = `${endpoint ?? "unnamed"}: ${issue?.path.join(".") ?? ""} ${issue?.message ?? ""}`;
        unreadableRows.push(text.slice(0, maximumDescriptionLength));
    }
    return { vms, unreadableEndpoints, unreadableRows };
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
    // A row that cannot be read tells nothing about its endpoint.
    const mayBeListed = list.unreadableEndpoints.has(endpoint.endpoint);
    if (vm === undefined && shouldBeListed && !mayBeListed && !view.reachedByEntries.has(endpoint.endpoint)) {
        return { kind: "gone", endpoint };
    }
    return undefined;
}
