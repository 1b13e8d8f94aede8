import { Encoder } from "cbor-x";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import { permitMilliseconds } from "../../process/control/entryTable.js";
import type { EntryTable } from "../../process/control/entryTable.js";
import type { LimitDivision } from "../../process/control/limitDivision.js";
import type { PoolPressure } from "../../process/control/poolPressure.js";
import type { CommandLog } from "../../process/replicatedLog/commandLog.js";
import type { ControlProposer } from "../../process/state/controlProposer.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../../process/state/controlState.js";
import { definitionOf } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { WakeUp } from "../../util/wakeUp.js";
import { entryProtocolVersion, entryToControlSchema } from "../entryMessages.js";
import type { ControlToEntry, EntryToControl } from "../entryMessages.js";
import { MessageConnection } from "../messageConnection.js";
import type { ClaimMessage } from "./claimProposer.js";
import { ClaimProposer, unconfirmed } from "./claimProposer.js";

/** Bytes of an encoded snapshot in one message. */
const snapshotPartBytes = 256 * 1024;

/** Changes in one message. */
const changesPerMessage = 500;

/** Largest frame that an entry may send, in bytes. */
const entryFrameLimit = 4 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

type Hello = Extract<EntryToControl, { kind: "hello"; }>;
type UsageMessage = Extract<EntryToControl, { kind: "usage"; }>;
type PermitRequest = Extract<EntryToControl, { kind: "permitRequest"; }>;

/** What the connections of entries share within a control process. */
export interface EntryConnectionContext {
    readonly cluster: string;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly state: ControlState;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly proposals: ControlProposer;
    readonly entries: EntryTable;
    readonly pressure: PoolPressure;
    readonly limitDivision: LimitDivision;
    /** Woken after each applied command. */
    readonly applied: WakeUp;
    /** Address of the leader's port for entries; undefined while no leader is known. */
    readonly leaderEntryAddress: () => string | undefined;
}

/** One connection of an entry: sends it the configuration by version and answers its permit requests. */
export class EntryConnection {
    private readonly connection: MessageConnection;
    private readonly closing = new AbortController();
    private claimProposer: ClaimProposer | undefined;
    private sentVersion = 0;
    private sentListing = -1;

    constructor(socket: Socket, private readonly context: EntryConnectionContext) {
        this.connection = new MessageConnection(socket, entryFrameLimit);
    }

    /** Serves the connection until it ends. */
    async run(): Promise<void> {
        let hello: Hello | undefined;
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
                    hello = this.welcome(message.data);
                }
                else if (hello !== undefined) {
                    await this.handle(message.data, hello);
                }
            }
        }
        finally {
            this.closing.abort();
            this.connection[Symbol.dispose]();
            if (hello !== undefined) {
                this.context.entries.disconnect(hello.entry, hello.incarnation);
            }
            if (this.connection.fault !== undefined) {
                this.logRejection(this.connection.fault.code);
            }
        }
    }

    private send(message: ControlToEntry): void {
        this.connection.send(message);
    }

    private welcome(hello: Hello): Hello | undefined {
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
            .with({ kind: "permitRequest" }, request => this.answerPermit(request, hello))
            // Usage and claims wait for a commit; permits must not wait behind them.
            .with({ kind: "usage" }, usage => {
                void this.takeUsage(usage);
            })
            .with({ kind: "claimBatch" }, { kind: "claimResults" }, claims => {
                void this.answerClaims(claims, hello);
            })
            .exhaustive();
    }

    /** Confirms the state with a quorum and lets the entry serve for a while with it. */
    private async answerPermit(request: PermitRequest, hello: Hello): Promise<void> {
        const { clock, commandLog, entries, state } = this.context;
        const receivedAt = clock.now();
        const confirmed = await commandLog.confirmPosition(this.closing.signal);
        const term = commandLog.leadingTerm();
        if (confirmed.err || term === undefined || !await this.reached(confirmed.val)) {
            this.send({ kind: "redirect", leaderAddress: this.context.leaderEntryAddress() });
            return;
        }
        if (!await this.register(hello)) {
            return;
        }
        entries.enterTerm(term, clock.now());
        this.record(request, hello, receivedAt);
        const listing = entries.listingVersion;
        const now = clock.now();
        if (request.pools !== undefined) {
            this.context.pressure.report(hello.incarnation, request.pools, now);
        }
        const { demands } = request;
        const limitParts = demands && this.context.limitDivision.divide(hello.incarnation, demands, now);
        this.send({
            kind: "permit",
            number: request.number,
            version: state.configuration.current.version,
            validMilliseconds: permitMilliseconds,
            entries: listing === this.sentListing ? undefined : entries.listings(),
            pools: request.pools && this.context.pressure.sumsOf(now),
            limitParts,
        });
        this.sentListing = listing;
        if (!request.status.draining && entries.drainRequested(hello.entry, hello.incarnation)) {
            this.send({ kind: "drain" });
        }
    }

    /** Registers the entry's incarnation; false when it may not be used, after telling the entry. */
    private async register(hello: Hello): Promise<boolean> {
        const { proposals, state, clock } = this.context;
        const { entry, incarnation, startedAt } = hello;
        const known = state.usage.incarnations.find(incarnation);
        if (known !== undefined) {
            if (known.endedAt !== undefined) {
                this.send({ kind: "incarnationEnded", incarnation });
            }
            return known.endedAt === undefined;
        }
        const begin = { kind: "beginIncarnation" as const, entry, incarnation, startedAt, at: clock.unixNow() };
        const begun = await proposals.propose("usage", begin, this.closing.signal);
        if (begun.ok && begun.val.kind === "startTooOld") {
            this.send({ kind: "incarnationEnded", incarnation });
        }
        return begun.ok && begun.val.kind === "accepted";
    }

    private async takeUsage(message: UsageMessage): Promise<void> {
        const { incarnation, firstSequence, records } = message;
        const at = this.context.clock.unixNow();
        const command = { kind: "recordUsage" as const, incarnation, firstSequence, records, at };
        const taken = await this.context.proposals.propose("usage", command, this.closing.signal);
        if (taken.ok) {
            this.send({ kind: "usageTaken", incarnation, outcome: taken.val });
        }
    }

    private reached(position: number): Promise<boolean> {
        return this.context.commandLog.waitForPosition(position, this.closing.signal);
    }

    private async answerClaims(message: ClaimMessage, hello: Hello): Promise<void> {
        if (!await this.register(hello)) {
            this.send(unconfirmed(message));
            return;
        }
        const answer = await this.claimProposer?.propose(message, this.closing.signal);
        if (answer !== undefined) {
            this.send(answer);
        }
    }

    private record(request: PermitRequest, hello: Hello, receivedAt: Milliseconds): void {
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

    /** Sends each change as soon as it is applied, or a snapshot to an entry that is far behind. */
    private async pushChanges(): Promise<void> {
        const { state, applied } = this.context;
        while (!this.closing.signal.aborted && !this.connection.closed) {
            const changes = state.configuration.changesAfter(this.sentVersion);
            if (changes === undefined) {
                this.sendSnapshot();
            }
            else if (changes.length > 0) {
                this.sendChanges(changes.slice(0, changesPerMessage));
            }
            else {
                await applied.wait(this.closing.signal);
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
        for (let start = 0; start < bytes.length; start += snapshotPartBytes) {
            const part = bytes.subarray(start, start + snapshotPartBytes);
            this.send({ kind: "snapshotPart", bytes: part, last: start + snapshotPartBytes >= bytes.length });
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
