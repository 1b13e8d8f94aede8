import { createServer } from "node:http";
import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { EndpointListPoller } from "../../../../src/process/hosted/control/endpointListPoller.js";
import type { EndpointListSnapshot } from "../../../../src/process/hosted/control/endpointLists.js";
import { SystemClock } from "../../../../src/util/clock.js";
import { DisposableStore } from "../../../../src/util/disposableStore.js";
import { listen } from "../../../../src/util/socketAddress.js";
import { SuspensionDetector } from "../../../../src/util/suspensionDetector.js";
import { describe, it } from "../../../describe.js";

/** Number of rows of one page. */
const pageSize = 3;

type Row = Readonly<Record<string, unknown>>;

function rowOf(id: string, state = "ready"): Row {
    return { identifier: id, service: "engines", address: "127.0.0.1:9", zone: "north", slots: 4, state };
}

/** The content of one page of the list; the page's number is counted from 0. */
type PageSource = (reading: number, page: number) => { readonly rows: readonly Row[]; readonly isLast: boolean; };

/** Divides a list of rows, which may change between two pages of one reading, into pages. */
function paged(rowsAt: (reading: number, page: number) => readonly Row[]): PageSource {
    return (reading, page) => {
        const rows = rowsAt(reading, page);
        const end = (page + 1) * pageSize;
        return { rows: rows.slice(page * pageSize, end), isLast: end >= rows.length };
    };
}

/** Answers the calls for pages of a list, and counts them. */
class PagedPlatform {
    /** Number of readings that were begun. */
    readings = 0;
    pageCalls = 0;

    constructor(private readonly pages: PageSource) {}

    /** Body of the response to the call for a page. */
    respond(page: number): string {
        this.pageCalls++;
        this.readings += page === 0 ? 1 : 0;
        const { rows, isLast } = this.pages(this.readings - 1, page);
        return JSON.stringify({ instances: rows, ...isLast ? {} : { next: String(page + 1) } });
    }
}

/** Reads the list a number of times; returns the snapshots of those readings that changed it. */
async function readList(pages: PageSource, readings: number): Promise<readonly EndpointListSnapshot[]> {
    return readFrom(new PagedPlatform(pages), readings);
}

async function readFrom(platform: PagedPlatform, readings: number): Promise<readonly EndpointListSnapshot[]> {
    await using store = new DisposableStore();
    let finish = (): void => undefined;
    const finished = new Promise<void>(resolve => {
        finish = resolve;
    });
    const server = createServer((request, response) => {
        const page = Number(new URL(request.url ?? "", "http://platform").searchParams.get("page-token") ?? "0");
        if (page === 0 && platform.readings === readings) {
            finish();
        }
        response.end(platform.respond(page));
    });
    store.defer(() => {
        server.close();
        server.closeAllConnections();
    });
    const clock = new SystemClock();
    const snapshots: EndpointListSnapshot[] = [];
    const poller = new EndpointListPoller({
        platformAddress: await listen(server, "127.0.0.1:0"),
        callsPerSecond: 1_000,
        clock,
        suspensionDetector: new SuspensionDetector(clock),
        eventLog: new EventLog("test", "hidden"),
        shouldPoll: () => true,
        onReading: () => undefined,
        onChange: () => {
            if (poller.snapshot !== undefined) {
                snapshots.push(poller.snapshot);
            }
        },
    });
    const stop = new AbortController();
    const running = poller.run(stop.signal);
    await finished;
    stop.abort();
    await running;
    return snapshots;
}

function idsOf({ endpoints }: EndpointListSnapshot): readonly string[] {
    return endpoints.map(({ id }) => id).sort();
}

describe("EndpointListPoller", () => {
    const rows = ["a", "b", "c", "d", "e"].map(id => rowOf(id));

    // Guards against endpoints that are lost because a row before them went away between two pages of a reading (DRAIN).
    it("keeps a row that moves over the boundary of two pages while they are read", async t => {
        const snapshots = await readList(
            paged((reading, page) => reading === 0 || (reading === 1 && page === 0) ? rows : rows.slice(1)),
            4,
        );
        snapshots.forEach(snapshot => {
            t.true(idsOf(snapshot).includes("d"), idsOf(snapshot).join());
        });
        t.deepEqual(snapshots.map(idsOf), [["a", "b", "c", "d", "e"], ["b", "c", "d", "e"]]);
    });

    it("drops a row that two readings in succession lack", async t => {
        const snapshots = await readList(paged(reading => reading === 0 ? rows : rows.slice(0, 4)), 3);
        t.deepEqual(snapshots.map(idsOf), [["a", "b", "c", "d", "e"], ["a", "b", "c", "d"]]);
    });

    it("drops a row at once if the list has a single page", async t => {
        const short = rows.slice(0, 3);
        const snapshots = await readList(paged(reading => reading === 0 ? short : short.slice(1)), 2);
        t.deepEqual(snapshots.map(idsOf), [["a", "b", "c"], ["b", "c"]]);
    });

    // Guards against a leaving endpoint that gets calls because the same reading also has an older state of its row.
    it("takes an endpoint for leaving if one of two rows of the same reading says so", async t => {
        for (const states of [["ready", "draining"], ["draining", "ready"]]) {
            const [first, second] = states;
            const twice = [rowOf("b"), rowOf("c"), rowOf("a", first), rowOf("a", second)];
            const snapshots = await readList(paged(() => twice), 1);
            const listed = snapshots[0]?.endpoints.filter(({ id }) => id === "a");
            t.deepEqual(listed?.map(({ isLeaving }) => isLeaving), [true]);
        }
    });

    // Guards against a control process that runs out of memory because the list has no end.
    it("gives up a list that is too large, and reads the next one", async t => {
        const large = Array.from(Array(4_000).keys(), index => rowOf(`${"x".repeat(200)}${index}`));
        const platform = new PagedPlatform((reading, page) =>
            reading === 0 ? { rows: large, isLast: false } : { rows: page === 0 ? rows : [], isLast: true }
        );
        const snapshots = await readFrom(platform, 2);
        t.deepEqual(snapshots.map(idsOf), [["a", "b", "c", "d", "e"]]);
        t.true(platform.pageCalls < 40, `${platform.pageCalls} pages of over 1 MB were read`);
    });
});
