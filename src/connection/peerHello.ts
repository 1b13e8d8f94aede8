import { z } from "zod";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import type { PeerFrame } from "./peerMessage.js";
import { peerFrameSchema, peerProtocolVersion } from "./peerMessage.js";

/** Identity of a control process, sent in its hello. */
export interface PeerIdentity {
    readonly cluster: string;
    readonly memberId: string;
}

/** Timeout for the hello of the peer, in milliseconds. */
export const helloTimeoutMilliseconds = 5000;

const goodbyeSchema = z.object({ kind: z.literal("goodbye"), code: z.string() });

/** Creates the first frame of a connection. */
export function createHelloFrame(identity: PeerIdentity): PeerFrame {
    const { cluster, memberId } = identity;
    return { kind: "hello", protocol: peerProtocolVersion, cluster, memberId };
}

/** Validates the first message of a peer. Returns the `memberId` of the peer, or why the connection must be refused. */
export function checkHello(ownIdentity: PeerIdentity, message: unknown): Result<string, Failure> {
    const goodbye = goodbyeSchema.safeParse(message);
    if (goodbye.success) {
        return Err(
            failure("peerMessageInvalid", { reason: `the peer closed the connection with code ${goodbye.data.code}` }),
        );
    }
    const hello = z.looseObject({ kind: z.literal("hello"), protocol: z.int() }).safeParse(message);
    if (hello.success && hello.data.protocol !== peerProtocolVersion) {
        const data = { found: hello.data.protocol, expected: peerProtocolVersion };
        return Err(failure("peerVersionMismatch", data));
    }
    const frame = parsePeerFrame(message);
    if (frame.err) {
        return frame;
    }
    if (frame.val.kind !== "hello") {
        return Err(failure("peerHelloMissing"));
    }
    if (frame.val.cluster !== ownIdentity.cluster) {
        return Err(failure("peerClusterMismatch", { found: frame.val.cluster, expected: ownIdentity.cluster }));
    }
    return Ok(frame.val.memberId);
}

/** Validates a received message; returns `peerMessageInvalid` if it does not match the schema. */
export function parsePeerFrame(message: unknown): Result<PeerFrame, Failure> {
    const parsed = peerFrameSchema.safeParse(message);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    return Err(failure("peerMessageInvalid", { reason: parsed.error.issues[0]?.message ?? "unknown" }));
}
