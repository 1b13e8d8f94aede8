import type { Socket } from "node:net";
import type { Failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import { waitForSocketPoll } from "../util/waitForSocketPoll.js";
import { encodeFrame, FrameDecoder, maximumFrameBytes } from "./frameCodec.js";

/** Maximum number of unsent bytes; a connection with a slower receiver is destroyed. */
const maximumUnsentBytes = 64 * 1024 * 1024;

/** Limits on the first frame of an accepted connection, which introduces the other side. */
export interface FirstFrameLimits {
    /** Maximum size of the body, in bytes. */
    readonly bytes: number;
    /** Maximum time until it has been received. */
    readonly timeout: Milliseconds;
}

/** Limits on the first frame of connections within an installation. */
export const defaultFirstFrameLimits: FirstFrameLimits = { bytes: 16 * 1024, timeout: 10_000 };

/** A TCP or TLS connection that carries framed messages in both directions. */
export class MessageConnection implements Disposable {
    private readonly frameDecoder: FrameDecoder;
    private receiveFailure: Failure | undefined;

    /**
     * @param socket A socket, owned by this connection from now on.
     * @param frameLimit Maximum size of the body of a frame, in bytes.
     * @param firstFrame Limits until the first frame has been received, for connections of processes that are not known.
     */
    constructor(
        private readonly socket: Socket,
        frameLimit: number = maximumFrameBytes,
        firstFrame?: FirstFrameLimits,
    ) {
        this.frameDecoder = new FrameDecoder(frameLimit, firstFrame?.bytes);
        if (firstFrame !== undefined) {
            this.startFirstFrameTimer(firstFrame.timeout);
        }
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
    }

    /** Remote address, as `host:port`. */
    get remoteAddress(): string {
        return `${this.socket.remoteAddress ?? "unknown"}:${this.socket.remotePort ?? 0}`;
    }

    /** Why receiving stopped; undefined while the received frames are valid. */
    get failure(): Failure | undefined {
        return this.receiveFailure;
    }

    /** Whether messages can no longer be sent. */
    get closed(): boolean {
        return this.socket.destroyed || this.socket.writableEnded;
    }

    /** Sends a message; drops it if the connection is closed. */
    send(message: unknown): void {
        if (!this.closed) {
            this.sendFrame(encodeFrame(message));
        }
    }

    /** Sends a message that is encoded already; drops it if the connection is closed. */
    sendFrame(frame: Buffer): void {
        if (this.closed) {
            return;
        }
        this.socket.write(frame);
        if (this.socket.writableLength > maximumUnsentBytes) {
            this.socket.destroy();
        }
    }

    /** Yields the received messages, not validated, until the connection ends or receives an invalid frame. */
    async *messages(): AsyncGenerator<unknown, void, undefined> {
        try {
            for await (const chunk of this.socket) {
                const received = this.frameDecoder.push(chunk as Buffer);
                if (received.err) {
                    this.receiveFailure = received.val;
                    return;
                }
                yield* received.val;
            }
        }
        catch {
            // A socket error ends the messages in the same way as a regular close.
        }
        finally {
            this.socket.destroy();
        }
    }

    /** Sends all written messages and then closes the connection. */
    end(): void {
        this.socket.end();
    }

    [Symbol.dispose](): void {
        this.socket.destroy();
    }

    private startFirstFrameTimer(timeout: Milliseconds): void {
        const timer = setTimeout(() => {
            // Frames may have arrived while this process was suspended.
            void waitForSocketPoll().then(() => {
                if (!this.frameDecoder.hasReceivedFrame) {
                    this.socket.destroy();
                }
            });
        }, timeout);
        this.socket.once("close", () => {
            clearTimeout(timer);
        });
    }
}
