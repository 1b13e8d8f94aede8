import type { Clock } from "../../util/clock.js";
import { LaggedValue } from "../laggedValue.js";
import type { StandInCall } from "../standInCall.js";
import { StandInServer } from "../standInServer.js";
import { Batch } from "./batch.js";
import { CacheEventLog } from "./cacheEventLog.js";
import { CompletionHandler } from "./completionHandler.js";
import { EngineCounters } from "./engineCounters.js";
import { engineOptionsSchema } from "./engineOptions.js";
import type { EngineOptions, EngineOptionsInput } from "./engineOptions.js";
import { EngineOrders } from "./engineOrders.js";
import { EngineState } from "./engineState.js";
import { KvTransfers } from "./kvTransfers.js";
import { buildLoadReport } from "./loadReport.js";
import type { EngineLoadReport } from "./loadReport.js";
import { PrefixCache } from "./prefixCache.js";
import { StepLoop } from "./stepLoop.js";

/**
 * A stand-in for a model engine (docs/INTERFACES.md, "Model engines").
 *
 *     await using engine = new ModelEngine({ name: "engine-1", models: ["alpha"] }, new SystemClock());
 *     await engine.start();                                     // engine.address is "127.0.0.1:PORT"
 *     engine.faults.set({ kind: "breakStreams", afterTokens: 5, times: 1 });
 *     engine.requestLog.findContaining(keyText);               // [] when no key arrived
 *     expectedCompletion("alpha", promptText({ messages }));   // what a caller must get (deterministicCompletion.ts)
 *
 * The completion of a prompt that contains `[answer-tokens: 37]` has 37 tokens.
 */
export class ModelEngine extends StandInServer {
    /** Models, adapters, role, and whether the engine is leaving (see {@link ModelEngine.announceLeaving}). */
    readonly state: EngineState;
    /** The received orders. */
    readonly orders: EngineOrders;
    private readonly options: EngineOptions;
    private readonly cacheEvents: CacheEventLog;
    private readonly cache: PrefixCache;
    private readonly batch: Batch;
    private readonly transfers = new KvTransfers();
    private readonly counters = new EngineCounters();
    private readonly reportedLoad: LaggedValue<EngineLoadReport>;
    private readonly loop: StepLoop;
    private readonly completionHandler: CompletionHandler;

    constructor(options: EngineOptionsInput, clock: Clock) {
        super(clock);
        this.options = engineOptionsSchema.parse(options);
        this.state = new EngineState(this.options);
        this.cacheEvents = new CacheEventLog(this.options);
        this.cache = new PrefixCache(this.options.cacheTokens, change => {
            this.cacheEvents.publish(change);
        });
        this.batch = new Batch(this.options, this.cache, () => this.state.role);
        this.reportedLoad = new LaggedValue(this.options.reportLagMilliseconds, this.buildReport());
        this.orders = new EngineOrders(this.options, this.state, clock, this.stopSignal, () => {
            this.publishLoad();
        });
        this.loop = new StepLoop(this.batch, clock, this.faults, () => {
            this.publishLoad();
        });
        const { state, batch, loop, counters, transfers } = this;
        this.completionHandler = new CompletionHandler(this.options, { state, batch, loop, counters, transfers });
    }

    override async start(port = 0): Promise<string> {
        const isFirstStart = this.address.endsWith(":0");
        const address = await super.start(port);
        if (isFirstStart) {
            void this.loop.run(this.stopSignal);
        }
        return address;
    }

    /** Number of running and waiting requests. */
    get runningRequests(): number {
        return this.batch.runningCount + this.batch.waitingCount;
    }

    /** Marks the engine as leaving: it rejects new work and reports this in its load report. */
    announceLeaving(): void {
        this.state.leaving = true;
        this.publishLoad();
    }

    override figures(): unknown {
        return {
            ...this.counters.read(),
            running: this.batch.runningCount,
            waiting: this.batch.waitingCount,
            orders: this.orders.received,
        };
    }

    override handleControl(): boolean {
        return false;
    }

    protected override isWork(call: StandInCall): boolean {
        return call.path.endsWith("/completions");
    }

    protected override handle(call: StandInCall): void {
        const [, , collection, id] = call.path.split("/");
        const name = `${call.method} ${collection ?? ""}`;
        switch (name) {
            case "POST chat":
            case "POST completions":
                this.completionHandler.handleCompletion(call, collection === "chat" ? "chat" : "text");
                return;
            case "POST requests":
                this.completionHandler.handleCancel(call, id ?? "");
                return;
            case "GET load":
                call.respond(200, this.reportedLoad.read(this.clock.now()), this.leavingHeader());
                return;
            case "GET cache-events":
                call.respond(200, this.cacheEvents.after(Number(call.url.searchParams.get("after") ?? "0")));
                return;
            case "POST kv":
                this.handleTransfer(call, id);
                return;
            case "POST orders":
                this.orders.post(call);
                return;
            case "GET orders":
                this.orders.get(call, id ?? "");
                return;
            default:
                call.respondWithError(404, `no such call: ${call.method} ${call.path}`);
        }
    }

    protected override resetAfterCrash(): void {
        this.batch.clear("crashed");
        this.cache.clear();
        this.cacheEvents.skipNumber();
        this.transfers.clear();
    }

    private handleTransfer(call: StandInCall, direction: string | undefined): void {
        if (direction === "export") {
            this.transfers.export(call, id => this.batch.find(id));
        }
        else {
            this.transfers.import(call);
        }
    }

    private leavingHeader(): Readonly<Record<string, string>> {
        return this.state.leaving ? { "x-leaving": "true" } : {};
    }

    private publishLoad(): void {
        this.reportedLoad.write(this.buildReport(), this.clock.now());
    }

    private buildReport(): EngineLoadReport {
        const { options, state, batch, cache } = this;
        return buildLoadReport({ options, state, batch, cache }, this.clock.unixNow());
    }
}
