import type { ResultCodeDefinition } from "./resultCode.js";

/** Result codes 1200–1299: control processes, the replicated log and operators. */
export const controlCodes = {
    notLeader: {
        number: 1200,
        httpStatus: 503,
        text: "This control process is not the leader; the leader is {leader}.",
        advice: "Ask the leader, or try again shortly.",
    },
    quorumUnavailable: {
        number: 1201,
        httpStatus: 503,
        text: "No quorum of control processes answered in time.",
        advice: "Send the same request again; a repeat is recognised.",
    },
    operatorUnauthorized: {
        number: 1202,
        httpStatus: 401,
        text: "The operator token is missing or unknown.",
        advice: "Pass a token that the control settings list.",
    },
    controlUnreachable: {
        number: 1203,
        httpStatus: 503,
        text: "No control process could be reached at {addresses}.",
        advice: "Check the addresses and the network.",
    },
    frameTooLarge: {
        number: 1210,
        httpStatus: 400,
        text: "A frame of {length} bytes exceeds the limit of {limit} bytes.",
        advice: "The connection was closed; check what the peer is.",
    },
    frameMalformed: {
        number: 1211,
        httpStatus: 400,
        text: "A frame could not be decoded: {reason}.",
        advice: "The connection was closed; check what the peer is.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
