import { z } from "zod";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import type { PeerFrame } from "./peerMessage.js";
import { peerFrameSchema, peerProtocolVersion } from "./peerMessage.js";

/** How a control process introduces itself. */
export interface PeerIntroduction {
    readonly cluster: string;
    readonly memberId: string;
}

/** Longest wait for the other side's introduction, in milliseconds. */
export const helloTimeout = 5000;

const goodbyeSchema = z.object({ kind: z.literal("goodbye"), code: z.string() });

/** The frame that opens a connection. */
export function helloFrame(introduction: PeerIntroduction): PeerFrame {
    const { cluster, memberId } = introduction;
    return { kind: "hello", protocol: peerProtocolVersion, cluster, memberId };
}

/** Checks the first message of the other side; the result is its member identity. */
export function checkHello(own: PeerIntroduction, message: unknown): Result<string, Failure> {
    const goodbye = goodbyeSchema.safeParse(message);
    if (goodbye.success) {
        return Err(failure("peerMessageInvalid", { reason: `refused with ${goodbye.data.code}` }));
    }
    const hello = z.looseObject({ kind: z.literal("hello"), protocol: z.int() }).safeParse(message);
    if (hello.success && hello.data.protocol !== peerProtocolVersion) {
        const data = { found: hello.data.protocol, expected: peerProtocolVersion };
        return Err(failure("peerVersionMismatch", data));
    }
    const frame = readPeerFrame(message);
    if (frame.err) {
        return frame;
    }
    if (frame.val.kind !== "hello") {
        return Err(failure("peerHelloMissing"));
    }
    if (frame.val.cluster !== own.cluster) {
        return Err(failure("peerClusterMismatch", { found: frame.val.cluster, expected: own.cluster }));
    }
    return Ok(frame.val.memberId);
}

/** Validates a received message. */
export function readPeerFrame(message: unknown): Result<PeerFrame, Failure> {
    const parsed = peerFrameSchema.safeParse(message);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    return Err(failure("peerMessageInvalid", { reason: parsed.error.issues[0]?.message ?? "unknown" }));
}
