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
    foreignCluster: {
        number: 1212,
        httpStatus: 400,
        text: "The other side belongs to another cluster or speaks another protocol version.",
        advice: "Check the cluster's name in the settings and the installed versions.",
    },
    requestMalformed: {
        number: 1213,
        httpStatus: 400,
        text: "The request is not acceptable: {reason}.",
        advice: "Correct the request; docs/OPERATIONS.md describes it.",
    },
    requestUnknown: {
        number: 1214,
        httpStatus: 404,
        text: "There is no {method} {path}.",
        advice: "Check the address; docs/OPERATIONS.md lists the calls.",
    },
    teamUnknown: {
        number: 1215,
        httpStatus: 404,
        text: "The manifest in force has no team {team}.",
        advice: "Check the name or apply a manifest that defines it.",
    },
    keyWasWithdrawn: {
        number: 1216,
        httpStatus: 409,
        text: "This key was withdrawn and cannot be issued again.",
        advice: "Issue a new key.",
    },
    waitTimedOut: {
        number: 1217,
        httpStatus: 504,
        text: "Version {version} was accepted, but these entries may not have it yet: {entries}.",
        advice: "Ask again with `gullhall status`.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
