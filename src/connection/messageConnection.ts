import type { Socket } from "node:net";
import type { Failure } from "../resultCode/resultCode.js";
import { encodeFrame, FrameReader, maximumFrameBytes } from "./frameCodec.js";

/** Bytes that may wait for a slow receiver before the connection is given up. */
const maximumUnsentBytes = 64 * 1024 * 1024;

/** A TCP or TLS connection that carries framed messages in both directions. */
export class MessageConnection implements Disposable {
    private readonly reader: FrameReader;
    private faultOfStream: Failure | undefined;

    /**
     * @param socket A connected socket, which the connection now owns.
     * @param frameLimit Largest accepted frame, in bytes.
     */
    constructor(private readonly socket: Socket, frameLimit: number = maximumFrameBytes) {
        this.reader = new FrameReader(frameLimit);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
    }

    /** Address of the other side, as `host:port`. */
    get remoteAddress(): string {
        return `${this.socket.remoteAddress ?? "unknown"}:${this.socket.remotePort ?? 0}`;
    }

    /** Why the incoming stream was given up; undefined while it is sound. */
    get fault(): Failure | undefined {
        return this.faultOfStream;
    }

    /** Whether nothing more can be sent. */
    get closed(): boolean {
        return this.socket.destroyed || this.socket.writableEnded;
    }

    /** Sends a message; one that cannot be sent any more is dropped. */
    send(message: unknown): void {
        if (this.closed) {
            return;
        }
        this.socket.write(encodeFrame(message));
        if (this.socket.writableLength > maximumUnsentBytes) {
            this.socket.destroy();
        }
    }

    /** The received messages, not yet validated, until the connection ends or its stream is at fault. */
    async *messages(): AsyncGenerator<unknown, void, undefined> {
        try {
            for await (const chunk of this.socket) {
                const received = this.reader.push(chunk as Buffer);
                if (received.err) {
                    this.faultOfStream = received.val;
                    return;
                }
                yield* received.val;
            }
        }
        catch {
            // An error of the socket ends the stream like an orderly close.
        }
        finally {
            this.socket.destroy();
        }
    }

    /** Sends what was written and then closes. */
    end(): void {
        this.socket.end();
    }

    [Symbol.dispose](): void {
        this.socket.destroy();
    }
}
