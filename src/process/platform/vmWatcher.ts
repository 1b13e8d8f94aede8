import { match } from "ts-pattern";
import { z } from "zod";
import { failure, formatFailure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { UnixMilliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { CommandSink, PlatformTaskContext } from "./actExecutor.js";
import type { ActLedger } from "./actLedger.js";
import { emptyContent } from "./leasedCaller.js";
import type { PlatformCommand } from "./platformCommand.js";
import { maximumListLag, reconcileVms, vmListSchema } from "./vmReconciliation.js";
import type { ListedVm, VmFinding, VmList } from "./vmReconciliation.js";

/** Maximum number of rows that one log line names. */
const maximumReportedRows = 4;

/** Information about endpoints from other parts of the leader. */
export abstract class EndpointDirectory {
    /** Names of the endpoints configured in the current manifest. */
    abstract configured(): ReadonlySet<string>;

    /** Names of the endpoints that an entry has reached after the given time. */
    abstract reachedSince(time: UnixMilliseconds): ReadonlySet<string>;
}

/** Polls the platform's list of VMs while this process leads, and records the resulting states of ordered endpoints. */
export class VmWatcher {
    private newestListTime: UnixMilliseconds = 0;
    private reportedUnreadableRows = "";
    private unorderedVms: ReadonlyMap<string, ListedVm> = new Map();

    constructor(
        private readonly ledger: Pick<ActLedger, "openActs" | "answeredActs" | "fleet">,
        private readonly log: CommandSink<PlatformCommand>,
        private readonly endpointDirectory: EndpointDirectory,
        private readonly context: PlatformTaskContext,
    ) {}

    /** VMs on the newest list that this system did not order. */
    get notOrdered(): readonly ListedVm[] {
        return [...this.unorderedVms.values()];
    }

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const list = await this.read(signal);
            if (list.ok) {
                await this.processList(list.val, signal);
            }
            else {
                this.context.events.write("vmListUnreadable", { reason: formatFailure(list.val) });
            }
            await this.context.clock.sleep(this.context.settings.pollInterval, signal);
        }
    }

    private async read(signal: AbortSignal): Promise<Result<VmList, Failure>> {
        const address = this.context.addresses.common;
        const call = { address, method: "GET", path: "/vms", content: () => emptyContent } as const;
        const response = await this.context.caller.call(call, signal);
        if (response.err) {
            return response;
        }
        const parsed = vmListSchema.safeParse(response.val.body);
        if (!parsed.success) {
            return Err(failure("platformAnswerMalformed", { address, reason: z.prettifyError(parsed.error) }));
        }
        return Ok(parsed.data);
    }

    /** Processes a list unless a newer one has been processed. */
    private async processList(list: VmList, signal: AbortSignal): Promise<void> {
        if (list.listedAt < this.newestListTime) {
            return;
        }
        this.newestListTime = list.listedAt;
        this.reportUnreadableRows(list);
        const findings = reconcileVms(list, {
            ordered: this.ledger.fleet.list(),
            configured: this.endpointDirectory.configured(),
            domainsWithOpenOrders: this.domainsWithOpenOrders(),
            recentlyStopped: this.stoppedSince(list.listedAt - maximumListLag),
            reachedByEntries: this.endpointDirectory.reachedSince(list.listedAt),
        });
        this.reportUnorderedVms(findings);
        await Promise.all(findings.map(finding => this.record(finding, signal)));
    }

    private domainsWithOpenOrders(): ReadonlySet<string> {
        const acts = this.ledger.openActs().map(({ act }) => act);
        return new Set(acts.flatMap(act => act.kind === "startEndpoints" ? [act.failureDomain] : []));
    }

    private stoppedSince(time: UnixMilliseconds): ReadonlySet<string> {
        const stopped = this.ledger.answeredActs().filter(({ answeredAt }) => (answeredAt ?? 0) >= time);
        return new Set(stopped.flatMap(({ act }) => act.kind === "stopEndpoint" ? [act.endpoint] : []));
    }

    /** Logs the rows that were left out when they change. */
    private reportUnreadableRows({ unreadableRows }: VmList): void {
        const rows = unreadableRows.slice(0, maximumReportedRows).join("; ");
        if (rows !== this.reportedUnreadableRows) {
            this.reportedUnreadableRows = rows;
            this.context.events.write("vmRowsUnreadable", { count: unreadableRows.length, rows });
        }
    }

    private reportUnorderedVms(findings: readonly VmFinding[]): void {
        const previous = this.unorderedVms;
        const found = findings.flatMap(finding => finding.kind === "notOrdered" ? [finding.vm] : []);
        this.unorderedVms = new Map(found.map(vm => [vm.endpoint, vm]));
        for (const { endpoint, failureDomain, pool } of found) {
            if (!previous.has(endpoint)) {
                this.context.events.write("endpointNotOrdered", { endpoint, failureDomain, pool });
            }
        }
    }

    private async record(finding: VmFinding, signal: AbortSignal): Promise<void> {
        const at = this.context.clock.unixNow();
        await match(finding)
            .with({ kind: "notOrdered" }, () => undefined)
            .with({ kind: "leaving" }, async ({ endpoint: { endpoint, failureDomain, pool }, leavesAt }) => {
                this.context.events.write("endpointLeaving", { endpoint, failureDomain, pool, leavesAt });
                await this.log.propose({ kind: "observeEndpoint", endpoint, state: "leaving", at }, signal);
            })
            .with({ kind: "gone" }, async ({ endpoint: { endpoint, failureDomain, pool } }) => {
                this.context.events.write("endpointGone", { endpoint, failureDomain, pool });
                await this.log.propose({ kind: "observeEndpoint", endpoint, state: "gone", at }, signal);
            })
            .exhaustive();
    }
}
