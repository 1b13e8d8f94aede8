import { endpointOrderCall } from "../../../../platform/platformCalls.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import { describeFailure } from "../../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { DeployedService, ServiceScaling } from "../../../version/deployment.js";
import type { LeasedCaller } from "../../platform/leasedCaller.js";
import type { EndpointRecord } from "../endpointRecord.js";
import { CapacityNeed } from "./capacityNeed.js";
import type { DomainFleet } from "./domainPlan.js";
import { planDomain, spreadOverDomains } from "./domainPlan.js";

/** Interval between two plans. */
const planInterval: Milliseconds = 1_000;

/** Time with too few endpoints after which steady ones replace spot ones; most reclaims are over sooner. */
const scarcityTime: Milliseconds = 12_000;

/** Delay before an order is repeated after the platform reported that no capacity is available. */
const refusalPause: Milliseconds = 2_000;

/** How long the endpoint list must be unchanged before the first order; the platform fills it gradually on startup. */
const settledTime: Milliseconds = 2_500;

/** Delay before an order is repeated while the endpoint list does not show the ordered number. */
const repeatAfter: Milliseconds = 8_000;

/** Maximum wait for an unchanged list; during a reclaim it changes continuously, and orders are needed most. */
const longestSettling: Milliseconds = 4_000;

/** Status code by which the platform reports that endpoints of the ordered kind are unavailable. */
const noneToBeHad = 409;

/** Dependencies of {@link OrderDuty}. */
export interface OrderDutyParts {
    readonly holder: string;
    readonly platformAddress: string;
    readonly services: () => readonly DeployedService[];
    readonly endpoints: () => readonly EndpointRecord[] | undefined;
    /** Engine time used by the calls of a service, in milliseconds per second. */
    readonly workOf: (service: string) => number;
    readonly caller: LeasedCaller;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

type EndpointKind = keyof DomainFleet;

interface SentOrder {
    readonly count: number;
    readonly sentAt: Milliseconds;
}

/** Orders endpoints while this process leads; created anew for each term, because placed orders cannot be queried. */
export class OrderDuty {
    private readonly needs = new Map<string, CapacityNeed>();
    private readonly sent = new Map<string, SentOrder>();
    private readonly refusedAt = new Map<string, Milliseconds>();
    private readonly scarceSince = new Map<string, Milliseconds>();
    private firstLookAt: Milliseconds | undefined;
    private listedCount = -1;
    private listedSince: Milliseconds = Infinity;

    constructor(private readonly parts: OrderDutyParts) {}

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.isListSettled(this.parts.clock.now())) {
                for (const service of this.parts.services()) {
                    await this.planService(service, signal);
                }
            }
            await this.parts.clock.sleep(planInterval, signal);
        }
    }

    /** Whether the list is stable enough for the first orders; after the first plan, changes no longer matter. */
    private isListSettled(now: Milliseconds): boolean {
        const count = this.parts.endpoints()?.length ?? 0;
        if (this.needs.size === 0 && count !== this.listedCount) {
            this.listedCount = count;
            this.listedSince = now;
        }
        this.firstLookAt ??= now;
        return now - this.listedSince >= settledTime || now - this.firstLookAt >= longestSettling;
    }

    private async planService({ name, scaling }: DeployedService, signal: AbortSignal): Promise<void> {
        const endpoints = this.parts.endpoints()?.filter(endpoint => endpoint.service === name);
        if (scaling === undefined || endpoints === undefined || endpoints.length === 0) {
            return;
        }
        const serving = endpoints.filter(endpoint => !endpoint.isLeaving);
        const need = this.needs.get(name) ?? new CapacityNeed(serving.length);
        this.needs.set(name, need);
        need.note(this.parts.workOf(name), this.parts.clock.now());
        for (const [domain, wanted] of spreadOverDomains(need.endpoints, scaling.prices)) {
            const here = endpoints.filter(endpoint => endpoint.failureDomain === domain);
            const present = fleetOf(here);
            const plan = this.planOf(name, domain, wanted, present, scaling);
            await this.order(name, domain, "spot", plan.spot, present.spot, signal);
            await this.order(name, domain, "steady", plan.steady, present.steady, signal);
        }
    }

    private planOf(
        service: string,
        domain: string,
        wanted: number,
        present: DomainFleet,
        scaling: ServiceScaling,
    ): DomainFleet {
        const subject = `${service} ${domain}`;
        const now = this.parts.clock.now();
        const hasEnough = (present.spot + present.steady) * 2 >= wanted;
        const since = hasEnough ? undefined : this.scarceSince.get(subject) ?? now;
        if (since === undefined) {
            this.scarceSince.delete(subject);
        }
        else {
            this.scarceSince.set(subject, since);
        }
        const isSpotScarce = since !== undefined && now - since > scarcityTime;
        return planDomain({ wanted, present, isSpotScarce, scaling });
    }

    private async order(
        service: string,
        failureDomain: string,
        kind: EndpointKind,
        count: number,
        present: number,
        signal: AbortSignal,
    ): Promise<void> {
        const { caller, platformAddress, holder, clock, eventLog } = this.parts;
        const subject = `${service} ${failureDomain} ${kind}`;
        const last = this.sent.get(subject);
        const isMissing = present !== count && clock.now() - (last?.sentAt ?? 0) > repeatAfter;
        const isKnown = last === undefined ? count === present : last.count === count;
        const isPaused = clock.now() - (this.refusedAt.get(subject) ?? -Infinity) < refusalPause;
        if (signal.aborted || isPaused || (isKnown && !isMissing)) {
            return;
        }
        const order = { service, failureDomain, count, isSpot: kind === "spot" };
        const answer = await caller.call(endpointOrderCall(platformAddress, holder, order), signal);
        const status = answer.ok ? answer.val.status : undefined;
        const reason = answer.ok ? undefined : describeFailure(answer.val);
        eventLog.write("endpointsOrdered", { service, failureDomain, kind, count, present, status, reason });
        if (status === noneToBeHad) {
            this.refusedAt.set(subject, clock.now());
            this.sent.delete(subject);
        }
        else if (status !== undefined && status < 300) {
            this.sent.set(subject, { count, sentAt: clock.now() });
        }
    }
}

function fleetOf(here: readonly EndpointRecord[]): DomainFleet {
    const serving = here.filter(endpoint => !endpoint.isLeaving);
    const spot = serving.filter(endpoint => endpoint.isSpot).length;
    return { steady: serving.length - spot, spot };
}
