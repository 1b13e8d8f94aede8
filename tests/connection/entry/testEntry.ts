import { CallerServer } from "../../../src/connection/entry/callerServer.js";
import type { CallerServerLimits } from "../../../src/connection/entry/callerServer.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { EntryProcessState } from "../../../src/process/entry/entryProcessState.js";
import type { PoolDispatcher } from "../../../src/process/entry/poolDispatcher.js";
import { entrySettingsSchema } from "../../../src/settings/entrySettings.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { generateKey } from "../../../src/util/generateKey.js";
import { keyDigest } from "../../../src/util/keyDigest.js";
import { manifestSchema } from "../../../src/version/manifest.js";
import type { Manifest } from "../../../src/version/manifest.js";
import { TestControl } from "./testControl.js";

/** Interval between two sweeps of the entry, in milliseconds. */
const sweepIntervalMilliseconds = 10;

/** Duration of the entry's permit, longer than any test, in milliseconds. */
const permitMilliseconds = 3_600_000;

/** Endpoints of the pools of a {@link TestEntry}. */
export interface TestEndpoints {
    readonly engines?: readonly string[];
    readonly services?: readonly string[];
    /** Maximum number of concurrent requests per engine. */
    readonly slots?: number;
}

/** An in-process entry whose permit and configuration are set by the test. */
export class TestEntry implements AsyncDisposable {
    /** Plain text of the key of the team "north". */
    readonly key: string;
    readonly state: EntryProcessState;
    address = "";
    private version = 0;
    private readonly store = new DisposableStore();
    private readonly clock = new SystemClock();

    private constructor(readonly name: string, readonly endpoints: TestEndpoints, key: string) {
        this.key = key;
        const settings = entrySettingsSchema.parse({
            cluster: "test",
            name,
            failureDomain: "hobart-a",
            callerAddress: "127.0.0.1:0",
            controlAddresses: [],
            maximumBodyBytes: 64 * 1024,
            discoverySeconds: 1,
        });
        this.state = this.store.add(new EntryProcessState(settings, this.clock, new EventLog(name, "hidden")));
    }

    /** Starts an entry. */
    static async start(
        endpoints: TestEndpoints,
        options: {
            readonly name?: string;
            readonly key?: string;
            readonly control?: TestControl;
            readonly limits?: CallerServerLimits;
        } = {},
    ): Promise<TestEntry> {
        const entry = new TestEntry(options.name ?? "entry-1", endpoints, options.key ?? generateKey());
        const { state, store, clock } = entry;
        entry.configure();
        state.permit.grant(clock.now(), permitMilliseconds, 1);
        const control = options.control ?? new TestControl();
        await control.attach(state.claims, entry.name, state.incarnation.name);
        store.add(control.attachQuarantine(state.quarantine));
        const timer = setInterval(() => {
            state.sweep(clock.now());
        }, sweepIntervalMilliseconds);
        store.defer(() => {
            clearInterval(timer);
        });
        const server = store.add(new CallerServer(state, options.limits));
        entry.address = await server.start();
        return entry;
    }

    /** Activates the next version of the configuration. */
    configure(change: (manifest: Manifest) => Manifest = manifest => manifest): void {
        this.version++;
        const manifest = change(createManifest(this.endpoints, this.key));
        this.state.configuration.replace({ version: this.version, manifest, issuedKeys: [] });
    }

    /** The dispatcher of the engines. */
    get engines(): PoolDispatcher {
        return this.state.dispatcherOf("engines");
    }

    /** The dispatcher of the plain services. */
    get services(): PoolDispatcher {
        return this.state.dispatcherOf("services");
    }

    /** Polls until a condition holds; bounded by the timeout of the test. */
    async waitUntil(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await this.clock.sleep(5);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }
}

function createManifest({ engines = [], services = [], slots = 64 }: TestEndpoints, key: string): Manifest {
    const listed = (kind: string, addresses: readonly string[]): readonly object[] =>
        addresses.map((address, index) => ({ name: `${kind}-${index + 1}`, address, failureDomain: "hobart-a" }));
    return manifestSchema.parse({
        number: 1,
        teams: [{ name: "north", keys: [{ name: "main", digest: keyDigest(key) }] }],
        classes: [
            { name: "drafts", tier: 0, target: { firstTokenMilliseconds: 500, totalMilliseconds: 60_000 } },
            { name: "summaries", tier: 3, preemptible: true, target: { totalMilliseconds: 120_000 } },
        ],
        routes: [
            {
                name: "chat",
                kind: "model",
                model: "alpha",
                pool: "engines",
                requestClass: "drafts",
                classes: ["summaries"],
                teams: "all",
            },
            {
                name: "bookings",
                kind: "service",
                pathPrefix: "/bookings",
                pool: "services",
                requestClass: "drafts",
                teams: "all",
            },
        ],
        pools: [
            {
                name: "engines",
                kind: "model",
                model: "alpha",
                concurrentRequestsPerEndpoint: slots,
                endpoints: listed("engine", engines),
            },
            { name: "services", kind: "service", endpoints: listed("service", services) },
        ],
        billing: { currency: "AUD", cutPerMillion: 0 },
    });
}
