import { Encoder } from "cbor-x";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { CrashedRequestLedger } from "../../process/control/crashedRequestLedger.js";
import { permitMilliseconds } from "../../process/control/entryTable.js";
import type { EntryTable } from "../../process/control/entryTable.js";
import type { LimitAllocator } from "../../process/control/limitAllocator.js";
import type { PoolSummaryAggregator } from "../../process/control/poolSummaryAggregator.js";
import type { CommandLog } from "../../process/replicatedLog/commandLog.js";
import type { ControlProposer } from "../../process/state/controlProposer.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../../process/state/controlState.js";
import { definitionOf } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { ConditionVariable } from "../../util/conditionVariable.js";
import { entryProtocolVersion, entryToControlSchema } from "../entryMessages.js";
import type { ControlToEntry, EntryToControl } from "../entryMessages.js";
import { defaultFirstFrameLimits, MessageConnection } from "../messageConnection.js";
import type { ClaimMessage } from "./claimProposer.js";
import { ClaimProposer, createUnconfirmedResponse } from "./claimProposer.js";

/** Maximum bytes of an encoded snapshot in one message. */
const maximumSnapshotPartBytes = 256 * 1024;

/** Maximum number of configuration changes in one message. */
const maximumChangesPerMessage = 500;

/** Maximum size of a frame from an entry, in bytes. */
const maximumFrameBytes = 4 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

type Hello = Extract<EntryToControl, { kind: "hello"; }>;
type UsageMessage = Extract<EntryToControl, { kind: "usage"; }>;
type PermitRequest = Extract<EntryToControl, { kind: "permitRequest"; }>;

/** Dependencies shared by all entry connections of a control process. */
export interface EntryConnectionContext {
    readonly cluster: string;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly state: ControlState;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly proposer: ControlProposer;
    readonly entries: EntryTable;
    readonly poolSummaries: PoolSummaryAggregator;
    readonly limitAllocator: LimitAllocator;
    readonly crashedRequests: CrashedRequestLedger;
    /** Woken after each applied command. */
    readonly commandApplied: ConditionVariable;
    /** Returns the leader's address for entries; undefined while no leader is known. */
    readonly leaderEntryAddress: () => string | undefined;
}

/** The connection of one entry: sends configuration changes, answers permit requests, and proposes usage and claims. */
export class EntryConnection {
    private readonly connection: MessageConnection;
    private readonly closing = new AbortController();
    private claimProposer: ClaimProposer | undefined;
    private sentVersion = 0;
    private sentListingVersion = -1;

    constructor(socket: Socket, private readonly context: EntryConnectionContext) {
        this.connection = new MessageConnection(socket, maximumFrameBytes, defaultFirstFrameLimits);
    }

    /** Handles messages until the connection ends. */
    async run(): Promise<void> {
        let hello: Hello | undefined;
        const listener = this.context.crashedRequests.onReport(() => {
            this.pushHeldRequests();
        });
        try {
            for await (const received of this.connection.messages()) {
                const message = entryToControlSchema.safeParse(received);
                if (!message.success) {
                    this.reject("frameMalformed");
                    return;
                }
                if (message.data.kind === "hello") {
                    if (hello !== undefined) {
                        this.reject("frameMalformed");
                        return;
                    }
                    hello = this.acceptHello(message.data);
                }
                else if (hello !== undefined) {
                    await this.handle(message.data, hello);
                }
            }
        }
        finally {
            this.closing.abort();
            listener[Symbol.dispose]();
            this.connection[Symbol.dispose]();
            if (hello !== undefined) {
                this.context.entries.disconnect(hello.entry, hello.incarnation);
            }
            if (this.connection.failure !== undefined) {
                this.logRejection(this.connection.failure.code);
            }
        }
    }

    private send(message: ControlToEntry): void {
        this.connection.send(message);
    }

    private acceptHello(hello: Hello): Hello | undefined {
        if (hello.protocol !== entryProtocolVersion || hello.cluster !== this.context.cluster) {
            this.reject("foreignCluster");
            return undefined;
        }
        this.sentVersion = hello.version;
        this.claimProposer = new ClaimProposer(this.context, hello);
        void this.pushChanges();
        return hello;
    }

    private async handle(message: Exclude<EntryToControl, Hello>, hello: Hello): Promise<void> {
        await match(message)
            .with({ kind: "permitRequest" }, request => this.handlePermitRequest(request, hello))
            // Not awaited: usage and claims wait for a commit, which must not delay permits.
            .with({ kind: "usage" }, usage => {
                void this.recordUsage(usage);
            })
            .with({ kind: "claimBatch" }, { kind: "claimResults" }, claims => {
                void this.handleClaims(claims, hello);
            })
            .exhaustive();
    }

    /**
     * Sends a permit once a quorum has confirmed that this process leads and the committed commands are applied.
     *
     * Redirects the entry to the leader if that fails. An incarnation that cannot be registered gets no permit.
     */
    private async handlePermitRequest(request: PermitRequest, hello: Hello): Promise<void> {
        const { clock, commandLog, entries, state } = this.context;
        const receivedAt = clock.now();
        const confirmed = await commandLog.confirmPosition(this.closing.signal);
        const term = commandLog.leadingTerm();
        if (confirmed.err || term === undefined || !await this.waitForPosition(confirmed.val)) {
            this.send({ kind: "redirect", leaderAddress: this.context.leaderEntryAddress() });
            return;
        }
        if (!await this.registerIncarnation(hello)) {
            return;
        }
        entries.enterTerm(term, clock.now());
        this.recordEntry(request, hello, receivedAt);
        const listingVersion = entries.listingVersion;
        const now = clock.now();
        if (request.pools !== undefined) {
            this.context.poolSummaries.report(hello.incarnation, request.pools, now);
        }
        if (request.crashReport !== undefined) {
            this.context.crashedRequests.report(request.crashReport, now);
        }
        const { demands } = request;
        const limitParts = demands && this.context.limitAllocator.allocate(hello.incarnation, demands, now);
        this.send({
            kind: "permit",
            number: request.number,
            version: state.configuration.current.version,
            validMilliseconds: permitMilliseconds,
            entries: listingVersion === this.sentListingVersion ? undefined : entries.listings(),
            pools: request.pools && this.context.poolSummaries.currentTotals(now),
            limitParts,
            heldRequests: this.context.crashedRequests.held(now),
        });
        this.sentListingVersion = listingVersion;
        if (!request.status.draining && entries.drainRequested(hello.entry, hello.incarnation)) {
            this.send({ kind: "drain" });
        }
    }

    /** Sends which requests are held back. The message grants nothing: no request has its number. */
    private pushHeldRequests(): void {
        const { clock, commandLog, crashedRequests, state } = this.context;
        if (this.claimProposer === undefined || commandLog.leadingTerm() === undefined) {
            return;
        }
        this.send({
            kind: "permit",
            number: 0,
            version: state.configuration.current.version,
            validMilliseconds: 0,
            entries: undefined,
            heldRequests: crashedRequests.held(clock.now()),
        });
    }

    /**
     * Registers the entry's incarnation.
     *
     * Returns false unless it is registered and has not ended; sends `incarnationEnded` if it has ended or started too
     * long ago.
     */
    private async registerIncarnation(hello: Hello): Promise<boolean> {
        const { proposer, state, clock } = this.context;
        const { entry, incarnation, startedAt } = hello;
        const known = state.usage.incarnations.find(incarnation);
        if (known !== undefined) {
            if (known.endedAt !== undefined) {
                this.send({ kind: "incarnationEnded", incarnation });
            }
            return known.endedAt === undefined;
        }
        const beginCommand = { kind: "beginIncarnation" as const, entry, incarnation, startedAt, at: clock.unixNow() };
        const outcome = await proposer.propose("usage", beginCommand, this.closing.signal);
        if (outcome.ok && outcome.val.kind === "startTooOld") {
            this.send({ kind: "incarnationEnded", incarnation });
        }
        return outcome.ok && outcome.val.kind === "accepted";
    }

    private async recordUsage(message: UsageMessage): Promise<void> {
        const { incarnation, firstSequence, records } = message;
        const at = this.context.clock.unixNow();
        const command = { kind: "recordUsage" as const, incarnation, firstSequence, records, at };
        const recorded = await this.context.proposer.propose("usage", command, this.closing.signal);
        if (recorded.ok) {
            this.send({ kind: "usageTaken", incarnation, outcome: recorded.val });
        }
    }

    private waitForPosition(position: number): Promise<boolean> {
        return this.context.commandLog.waitForPosition(position, this.closing.signal);
    }

    private async handleClaims(message: ClaimMessage, hello: Hello): Promise<void> {
        if (!await this.registerIncarnation(hello)) {
            this.send(createUnconfirmedResponse(message));
            return;
        }
        const response = await this.claimProposer?.propose(message, this.closing.signal);
        if (response !== undefined) {
            this.send(response);
        }
    }

    private recordEntry(request: PermitRequest, hello: Hello, receivedAt: Milliseconds): void {
        this.context.entries.report({
            entry: hello.entry,
            incarnation: hello.incarnation,
            failureDomain: hello.failureDomain,
            callerAddress: hello.callerAddress,
            metricsAddress: hello.metricsAddress,
            version: request.version,
            status: request.status,
            permitEndsAt: receivedAt + permitMilliseconds,
            connected: true,
        });
    }

    /** Sends each change once it is applied, or a snapshot if changes that the entry lacks are no longer available. */
    private async pushChanges(): Promise<void> {
        const { state, commandApplied } = this.context;
        while (!this.closing.signal.aborted && !this.connection.closed) {
            const changes = state.configuration.changesAfter(this.sentVersion);
            if (changes === undefined) {
                this.sendSnapshot();
            }
            else if (changes.length > 0) {
                this.sendChanges(changes.slice(0, maximumChangesPerMessage));
            }
            else {
                await commandApplied.wait(this.closing.signal);
            }
        }
    }

    private sendChanges(changes: Extract<ControlToEntry, { kind: "changes"; }>["changes"]): void {
        this.send({ kind: "changes", changes });
        this.sentVersion = changes.at(-1)?.version ?? this.sentVersion;
    }

    private sendSnapshot(): void {
        const snapshot = this.context.state.configuration.current;
        const bytes = encoder.encode(snapshot);
        for (let start = 0; start < bytes.length; start += maximumSnapshotPartBytes) {
            const part = bytes.subarray(start, start + maximumSnapshotPartBytes);
            this.send({ kind: "snapshotPart", bytes: part, last: start + maximumSnapshotPartBytes >= bytes.length });
        }
        this.sentVersion = snapshot.version;
    }

    private reject(code: "frameMalformed" | "foreignCluster"): void {
        this.send({ kind: "refused", code: definitionOf(code).number });
        this.connection.end();
        this.logRejection(code);
    }

    private logRejection(code: string): void {
        this.context.eventLog.write("connectionRejected", { address: this.connection.remoteAddress, code });
    }
}
