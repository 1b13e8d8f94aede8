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
const reconnectPause: Milliseconds = 100;

const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Speaks the protocol of an entry towards control, and does nothing else. */
export class FakeEntry implements Disposable {
    /** Requests that it says it runs; what others are told of it depends on this. */
    runningRequests = 0;
    /** Permits that it has received. */
    permits = 0;
    private socket: Socket | undefined;
    private heldVersion = 0;
    private sentBefore = 0;
    private receivedBefore = 0;
    private parts: Uint8Array[] = [];
    private number = 0;
    private stopped = false;
    private readonly startedAt = Date.now();
    private readonly timer: NodeJS.Timeout;

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
        this.open(addresses[0] ?? "");
        this.timer = setInterval(() => {
            this.askForPermit();
        }, permitInterval);
    }

    /** Version of the configuration that it holds. */
    get version(): number {
        return this.heldVersion;
    }

    /** Bytes that it has received from control. */
    get bytesReceived(): number {
        return this.receivedBefore + (this.socket?.bytesRead ?? 0);
    }

    /** Bytes that it has sent to control. */
    get bytesSent(): number {
        return this.sentBefore + (this.socket?.bytesWritten ?? 0);
    }

    [Symbol.dispose](): void {
        this.stopped = true;
        clearInterval(this.timer);
        this.socket?.destroy();
    }

    private open(address: string): void {
        const socket = connect(splitAddress(address));
        const reader = new FrameReader();
        this.socket = socket;
        this.parts = [];
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("data", (chunk: Buffer) => {
            reader.push(chunk).unwrap().forEach(message => {
                this.handle(message as ControlToEntry, socket);
            });
        });
        socket.once("close", () => {
            this.close(socket, this.nextAddress(address));
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
            version: this.heldVersion,
        });
        this.askForPermit();
    }

    private close(socket: Socket, next: string): void {
        if (this.socket !== socket) {
            return;
        }
        this.sentBefore += socket.bytesWritten;
        this.receivedBefore += socket.bytesRead;
        this.socket = undefined;
        if (!this.stopped) {
            setTimeout(() => {
                this.open(next);
            }, reconnectPause);
        }
    }

    private nextAddress(address: string): string {
        const index = this.addresses.indexOf(address);
        return this.addresses[(index + 1) % this.addresses.length] ?? address;
    }

    private handle(message: ControlToEntry, socket: Socket): void {
        match(message)
            .with({ kind: "permit" }, () => {
                this.permits += 1;
            })
            .with({ kind: "changes" }, ({ changes }) => {
                this.hold(changes.at(-1)?.version ?? this.heldVersion);
            })
            .with({ kind: "snapshotPart" }, ({ bytes, last }) => {
                this.takePart(bytes, last);
            })
            .with({ kind: "redirect" }, { kind: "refused" }, { kind: "incarnationEnded" }, () => {
                socket.destroy();
            })
            .otherwise(() => undefined);
    }

    private takePart(bytes: Uint8Array, last: boolean): void {
        this.parts.push(bytes);
        if (last) {
            const snapshot = decoder.decode(Buffer.concat(this.parts.splice(0))) as ConfigurationSnapshot;
            this.hold(snapshot.version);
        }
    }

    private hold(version: number): void {
        this.heldVersion = version;
        this.onVersion(version);
        this.askForPermit();
    }

    private askForPermit(): void {
        this.number += 1;
        const status = { draining: false, runningRequests: this.runningRequests, waitingRequests: 0 };
        this.send({ kind: "permitRequest", number: this.number, version: this.heldVersion, status });
    }

    private send(message: EntryToControl): void {
        if (this.socket?.writable === true || this.socket?.connecting === true) {
            this.socket.write(encodeFrame(message));
        }
    }
}
