import { endpointOrderCall } from "../../../../platform/platformCalls.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import { formatFailure } from "../../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { DeployedService } from "../../../version/deployment.js";
import type { LeasedCaller } from "../../platform/leasedCaller.js";
import type { EndpointRecord } from "../endpointRecord.js";
import { CapacityEstimator } from "./capacityEstimator.js";
import type { DomainEndpointCounts } from "./domainPlan.js";
import { planDomain, spreadOverDomains } from "./domainPlan.js";

/** Interval between two plans. */
const planInterval: Milliseconds = 1_000;

/** Delay before an order is repeated after the platform reported that no capacity is available. */
const refusalRetryDelay: Milliseconds = 2_000;

/** How long the endpoint list must be unchanged before the first order; the platform fills it gradually on startup. */
const listSettleTime: Milliseconds = 2_500;

/** Delay before an order is repeated while the endpoint list does not show the ordered number. */
const unfulfilledOrderDelay: Milliseconds = 8_000;

/** Maximum wait for an unchanged list; during a reclaim it changes continuously, and orders are needed most. */
const maximumSettleWait: Milliseconds = 4_000;

/** Status code by which the platform reports that endpoints of the ordered kind are unavailable. */
const capacityUnavailableStatus = 409;

/** Dependencies of {@link OrderDuty}. */
export interface OrderDutyOptions {
    /** Name of this process, sent to the platform as holder of the duty. */
    readonly holder: string;
    /** Host and port. */
    readonly platformAddress: string;
    readonly services: () => readonly DeployedService[];
    /** The platform's endpoint list; undefined before the first successful poll. */
    readonly endpoints: () => readonly EndpointRecord[] | undefined;
    /** Engine time used by the calls of a service, in milliseconds per second. */
    readonly engineTimeOf: (service: string) => number;
    readonly caller: LeasedCaller;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

type EndpointKind = keyof DomainEndpointCounts;

const spotFirst: readonly EndpointKind[] = ["spot", "steady"];

const steadyFirst: readonly EndpointKind[] = ["steady", "spot"];

interface PlacedOrder {
    readonly count: number;
    readonly placedAt: Milliseconds;
}

/**
 * Orders endpoints while this process leads.
 *
 * A new instance is created for each term, because placed orders cannot be queried.
 */
export class OrderDuty {
    private readonly estimators = new Map<string, CapacityEstimator>();
    private readonly lastOrders = new Map<string, PlacedOrder>();
    private readonly refusedAt = new Map<string, Milliseconds>();
    /** Services and failure domains whose last order for further spot endpoints was refused. */
    private readonly scarceSpot = new Set<string>();
    private firstCheckAt: Milliseconds | undefined;
    private lastListLength = -1;
    private listUnchangedSince: Milliseconds = Infinity;

    constructor(private readonly options: OrderDutyOptions) {}

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.isListSettled(this.options.clock.now())) {
                for (const service of this.options.services()) {
                    await this.planService(service, signal);
                }
            }
            await this.options.clock.sleep(planInterval, signal);
        }
    }

    /** Whether the list is stable enough for the first orders; after the first plan, changes no longer matter. */
    private isListSettled(now: Milliseconds): boolean {
        const count = this.options.endpoints()?.length ?? 0;
        if (this.estimators.size === 0 && count !== this.lastListLength) {
            this.lastListLength = count;
            this.listUnchangedSince = now;
        }
        this.firstCheckAt ??= now;
        return now - this.listUnchangedSince >= listSettleTime || now - this.firstCheckAt >= maximumSettleWait;
    }

    private async planService({ name, scaling }: DeployedService, signal: AbortSignal): Promise<void> {
        const endpoints = this.options.endpoints()?.filter(endpoint => endpoint.service === name);
        if (scaling === undefined || endpoints === undefined || endpoints.length === 0) {
            return;
        }
        const serving = endpoints.filter(endpoint => !endpoint.isLeaving);
        const estimator = this.estimators.get(name) ?? new CapacityEstimator(serving.length);
        this.estimators.set(name, estimator);
        estimator.update(this.options.engineTimeOf(name), this.options.clock.now());
        const spread = spreadOverDomains(estimator.endpoints, scaling.prices);
        const needed = Math.ceil(estimator.endpoints / spread.size);
        for (const [domain, desired] of spread) {
            const inDomain = endpoints.filter(endpoint => endpoint.failureDomain === domain);
            const present = countEndpoints(inDomain);
            const isSpotScarce = this.scarceSpot.has(spotKey(name, domain));
            const plan = planDomain({ desired, needed, present, isSpotScarce, scaling });
            // Releases come first: the maximum applies to both kinds together.
            const kinds = plan.steady < present.steady ? steadyFirst : spotFirst;
            for (const kind of kinds) {
                await this.placeOrder(name, domain, kind, plan[kind], present[kind], signal);
            }
        }
    }

    /** Records whether the platform accepted an order for further spot endpoints. */
    private recordSpotOrder(service: string, failureDomain: string, status: number | undefined): void {
        const key = spotKey(service, failureDomain);
        if (status === capacityUnavailableStatus) {
            this.scarceSpot.add(key);
        }
        else if (status !== undefined && status < 300) {
            this.scarceSpot.delete(key);
        }
    }

    private async placeOrder(
        service: string,
        failureDomain: string,
        kind: EndpointKind,
        count: number,
        present: number,
        signal: AbortSignal,
    ): Promise<void> {
        const { caller, platformAddress, holder, clock, eventLog } = this.options;
        const key = `${service} ${failureDomain} ${kind}`;
        const last = this.lastOrders.get(key);
        const isUnfulfilled = present !== count && clock.now() - (last?.placedAt ?? 0) > unfulfilledOrderDelay;
        const isUnchanged = last === undefined ? count === present : last.count === count;
        const isBackingOff = clock.now() - (this.refusedAt.get(key) ?? -Infinity) < refusalRetryDelay;
        if (signal.aborted || isBackingOff || (isUnchanged && !isUnfulfilled)) {
            return;
        }
        const order = { service, failureDomain, count, isSpot: kind === "spot" };
        const response = await caller.call(endpointOrderCall(platformAddress, holder, order), signal);
        const status = response.ok ? response.val.status : undefined;
        const reason = response.ok ? undefined : formatFailure(response.val);
        eventLog.write("endpointsOrdered", { service, failureDomain, kind, count, present, status, reason });
        if (status === capacityUnavailableStatus) {
            this.refusedAt.set(key, clock.now());
            this.lastOrders.delete(key);
        }
        else if (status !== undefined && status < 300) {
            this.lastOrders.set(key, { count, placedAt: clock.now() });
        }
        if (kind === "spot" && count > present) {
            this.recordSpotOrder(service, failureDomain, status);
        }
    }
}

function spotKey(service: string, failureDomain: string): string {
    return `${service} ${failureDomain}`;
}

function countEndpoints(endpoints: readonly EndpointRecord[]): DomainEndpointCounts {
    const serving = endpoints.filter(endpoint => !endpoint.isLeaving);
    const spot = serving.filter(endpoint => endpoint.isSpot).length;
    return { steady: serving.length - spot, spot };
}
