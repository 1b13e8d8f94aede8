import { endpointOrderCall } from "../../../../platform/platformCalls.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import { describeFailure } from "../../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { DeployedService, ServiceScaling } from "../../../version/deployment.js";
import type { LeasedCaller } from "../../platform/leasedCaller.js";
import type { EndpointRecord } from "../endpointRecord.js";
import { CapacityNeed } from "./capacityEstimator.js";
import type { DomainFleet } from "./domainPlan.js";
import { planDomain, spreadOverDomains } from "./domainPlan.js";

/** Pause between two plans. */
const planInterval: Milliseconds = 1_000;

/** Time without enough spot endpoints after which steady ones take their place; reclaims are mostly over sooner. */
const scarcityTime: Milliseconds = 12_000;

/** Pause before spot endpoints are ordered again after a refusal. */
const refusalPause: Milliseconds = 2_000;

/** How long the list must have stayed the same before the first order: the platform fills it gradually at a start. */
const settledTime: Milliseconds = 2_500;

/** How long after an order it is repeated while the platform's list does not show what was ordered. */
const repeatAfter: Milliseconds = 8_000;

/** Longest wait for a list that stays the same: in a reclaim it changes all the time, and orders are needed most. */
const longestSettling: Milliseconds = 4_000;

/** Status by which the platform says that no endpoints of a kind are to be had now. */
const noneToBeHad = 409;

/** What the duty works with. */
export interface OrderDutyOptions {
    readonly holder: string;
    readonly platformAddress: string;
    readonly services: () => readonly DeployedService[];
    readonly endpoints: () => readonly EndpointRecord[] | undefined;
    /** Engine time that calls of a service take, in milliseconds a second. */
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

/** Orders endpoints while this process leads; made anew for each term, since nothing can be read back. */
export class OrderDuty {
    private readonly needs = new Map<string, CapacityNeed>();
    private readonly sent = new Map<string, SentOrder>();
    private readonly refusedAt = new Map<string, Milliseconds>();
    private readonly scarceSince = new Map<string, Milliseconds>();
    private firstLookAt: Milliseconds | undefined;
    private listedCount = -1;
    private listedSince: Milliseconds = Infinity;

    constructor(private readonly parts: OrderDutyOptions) {}

    /** Works until the signal ends it, which must happen when this process stops leading. */
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

    /** Whether the first orders may go out; afterwards the list may change as it likes. */
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
