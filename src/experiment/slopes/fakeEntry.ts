import { Decoder } from "cbor-x";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { match } from "ts-pattern";
import { entryProtocolVersion } from "../../connection/entryMessages.js";
import type { ControlToEntry, EntryToControl } from "../../connection/entryMessages.js";
import { encodeFrame, FrameReader } from "../../connection/frameCodec.js";
import type { Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import type { ConfigurationSnapshot } from "../../version/configurationChange.js";

/** How often an entry asks for a permit, in milliseconds, as real entries do. */
const permitInterval: Milliseconds = 400;

/** Pause before a new connection, in milliseconds. */
const reconnectDelay: Milliseconds = 100;

const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Speaks the protocol of an entry towards control, and does nothing else. */
export class FakeEntry implements Disposable {
    /** Requests that it says it runs; what others are told of it depends on this. */
    runningRequests = 0;
    /** Permits that it has received. */
    receivedPermits = 0;
    private socket: Socket | undefined;
    private currentVersion = 0;
    private closedConnectionBytesSent = 0;
    private closedConnectionBytesReceived = 0;
    private snapshotParts: Uint8Array[] = [];
    private number = 0;
    private disposed = false;
    private readonly startedAt = Date.now();
    private readonly permitTimer: NodeJS.Timeout;

    /**
     * @param name Its name, unique in the cluster.
     * @param addresses Where control processes accept entries.
     * @param onVersion Called whenever it holds a later version.
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

    /** Version of the configuration that it holds. */
    get version(): number {
        return this.currentVersion;
    }

    /** Bytes that it has received from control. */
    get bytesReceived(): number {
        return this.closedConnectionBytesReceived + (this.socket?.bytesRead ?? 0);
    }

    /** Bytes that it has sent to control. */
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
        const reader = new FrameReader();
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
            this.handleClose(socket, this.nextAddress(address));
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

    private nextAddress(address: string): string {
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
        this.number += 1;
        const status = { draining: false, runningRequests: this.runningRequests, waitingRequests: 0 };
        this.send({ kind: "permitRequest", number: this.number, version: this.currentVersion, status });
    }

    private send(message: EntryToControl): void {
        if (this.socket?.writable === true || this.socket?.connecting === true) {
            this.socket.write(encodeFrame(message));
        }
    }
}
