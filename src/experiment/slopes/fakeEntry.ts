import { Decoder } from "cbor-x";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { match } from "ts-pattern";
import { entryProtocolVersion } from "../../connection/entryMessages.js";
import type { ControlToEntry, EntryToControl } from "../../connection/entryMessages.js";
import { encodeFrame, FrameDecoder } from "../../connection/frameCodec.js";
import type { Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import type { ConfigurationSnapshot } from "../../version/configurationChange.js";

/** Interval between two permit requests, in milliseconds; the same as that of real entries. */
const permitInterval: Milliseconds = 400;

/** Delay before reconnecting, in milliseconds. */
const reconnectDelay: Milliseconds = 100;

const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** A test double that implements only the protocol between an entry and control. */
export class FakeEntry implements Disposable {
    /** Number of running requests that it reports to control; control includes it in the list of entries. */
    runningRequests = 0;
    /** Number of permits received. */
    receivedPermits = 0;
    private socket: Socket | undefined;
    private currentVersion = 0;
    private closedConnectionBytesSent = 0;
    private closedConnectionBytesReceived = 0;
    private snapshotParts: Uint8Array[] = [];
    private permitRequestCount = 0;
    private disposed = false;
    private readonly startedAt = Date.now();
    private readonly permitTimer: NodeJS.Timeout;

    /**
     * @param name Name of the entry, unique in the cluster.
     * @param cluster Name of the cluster.
     * @param addresses Addresses on which control processes accept entries.
     * @param onVersion Called with each received configuration version.
     */
    constructor(
        readonly name: string,
        private readonly cluster: string,
        private readonly addresses: readonly string[],
        private readonly onVersion: (version: number) => void = () => undefined,
    ) {
        this.connect(addresses[0] ?? "");
        this.permitTimer = setInterval(() => {
            this.requestPermit();
        }, permitInterval);
    }

    /** Version of the last received configuration; 0 before the first. */
    get version(): number {
        return this.currentVersion;
    }

    /** Bytes received from control, over all connections. */
    get bytesReceived(): number {
        return this.closedConnectionBytesReceived + (this.socket?.bytesRead ?? 0);
    }

    /** Bytes sent to control, over all connections. */
    get bytesSent(): number {
        return this.closedConnectionBytesSent + (this.socket?.bytesWritten ?? 0);
    }

    [Symbol.dispose](): void {
        this.disposed = true;
        clearInterval(this.permitTimer);
        this.socket?.destroy();
    }

    private connect(address: string): void {
        const socket = connect(splitAddress(address));
        const reader = new FrameDecoder();
        this.socket = socket;
        this.snapshotParts = [];
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("data", (chunk: Buffer) => {
            reader.push(chunk).unwrap().forEach(message => {
                this.handleMessage(message as ControlToEntry, socket);
            });
        });
        socket.once("close", () => {
            this.handleClose(socket, this.addressAfter(address));
        });
        this.send({
            kind: "hello",
            protocol: entryProtocolVersion,
            cluster: this.cluster,
            entry: this.name,
            incarnation: `${this.name}-${this.startedAt}`,
            startedAt: this.startedAt,
            failureDomain: "hobart-a",
            callerAddress: "127.0.0.1:40000",
            metricsAddress: "127.0.0.1:40001",
            version: this.currentVersion,
        });
        this.requestPermit();
    }

    private handleClose(socket: Socket, nextAddress: string): void {
        if (this.socket !== socket) {
            return;
        }
        this.closedConnectionBytesSent += socket.bytesWritten;
        this.closedConnectionBytesReceived += socket.bytesRead;
        this.socket = undefined;
        if (!this.disposed) {
            setTimeout(() => {
                this.connect(nextAddress);
            }, reconnectDelay);
        }
    }

    private addressAfter(address: string): string {
        const index = this.addresses.indexOf(address);
        return this.addresses[(index + 1) % this.addresses.length] ?? address;
    }

    private handleMessage(message: ControlToEntry, socket: Socket): void {
        match(message)
            .with({ kind: "permit" }, () => {
                this.receivedPermits += 1;
            })
            .with({ kind: "changes" }, ({ changes }) => {
                this.setVersion(changes.at(-1)?.version ?? this.currentVersion);
            })
            .with({ kind: "snapshotPart" }, ({ bytes, last }) => {
                this.addSnapshotPart(bytes, last);
            })
            .with({ kind: "redirect" }, { kind: "refused" }, { kind: "incarnationEnded" }, () => {
                socket.destroy();
            })
            .otherwise(() => undefined);
    }

    private addSnapshotPart(bytes: Uint8Array, last: boolean): void {
        this.snapshotParts.push(bytes);
        if (last) {
            const snapshot = decoder.decode(Buffer.concat(this.snapshotParts.splice(0))) as ConfigurationSnapshot;
            this.setVersion(snapshot.version);
        }
    }

    private setVersion(version: number): void {
        this.currentVersion = version;
        this.onVersion(version);
        this.requestPermit();
    }

    private requestPermit(): void {
        this.permitRequestCount += 1;
        const status = { draining: false, runningRequests: this.runningRequests, waitingRequests: 0 };
        this.send({ kind: "permitRequest", number: this.permitRequestCount, version: this.currentVersion, status });
    }

    private send(message: EntryToControl): void {
        if (this.socket?.writable === true || this.socket?.connecting === true) {
            this.socket.write(encodeFrame(message));
        }
    }
}
