import type { LogEventDefinition } from "./logEvent.js";

/** Log events 2100–2199: replicated log, lease, membership and configuration. */
export const controlEvents = {
    leaderElected: {
        number: 2100,
        level: "info",
        text: "A leader was elected.",
        fields: ["term", "leader"],
    },
    manifestAccepted: {
        number: 2110,
        level: "info",
        text: "A manifest was accepted.",
        fields: ["manifestNumber", "digest", "operator", "version"],
    },
    keyWithdrawn: {
        number: 2111,
        level: "info",
        text: "A key was withdrawn.",
        fields: ["digest", "operator", "version"],
    },
    keyIssued: {
        number: 2112,
        level: "info",
        text: "A key was issued outside the manifest.",
        fields: ["team", "keyName", "digest", "operator", "version"],
    },
    drainRequested: {
        number: 2113,
        level: "info",
        text: "An operator requested a graceful shutdown of an entry.",
        fields: ["entry", "operator"],
    },
    membersChangeRequested: {
        number: 2114,
        level: "info",
        text: "An operator changed the membership of the log group.",
        fields: ["change", "memberId", "operator", "position"],
    },
    connectionRejected: {
        number: 2120,
        level: "warn",
        text: "A connection was closed because the received data was not accepted.",
        fields: ["address", "code"],
    },
    leadershipEnded: {
        number: 2130,
        level: "info",
        text: "This member is no longer the leader.",
        fields: ["group", "term", "reason"],
    },
    leaseObtained: {
        number: 2131,
        level: "info",
        text: "The leader obtained the lease that permits calls to the platform.",
        fields: ["group", "term"],
    },
    groupFormed: {
        number: 2132,
        level: "info",
        text: "The log group was formed.",
        fields: ["group", "members"],
    },
    membershipChanged: {
        number: 2133,
        level: "info",
        text: "The membership of the log group changed.",
        fields: ["group", "change", "memberId", "address", "silence", "voters", "position"],
    },
    snapshotTaken: {
        number: 2134,
        level: "debug",
        text: "A snapshot was taken.",
        fields: ["group", "position", "bytes"],
    },
    snapshotInstalled: {
        number: 2135,
        level: "info",
        text: "A snapshot from the leader was installed.",
        fields: ["group", "position", "bytes"],
    },
    memberHalted: {
        number: 2136,
        level: "error",
        text: "The member halted to protect the integrity of the log.",
        fields: ["group", "code", "reason"],
    },
    appendRefused: {
        number: 2137,
        level: "warn",
        text: "Log entries could not be stored.",
        fields: ["group", "code"],
    },
    diskFull: {
        number: 2142,
        level: "warn",
        text: "The disk is full: it refused an operation; the process goes on once there is room.",
        fields: ["operation", "name"],
    },
    diskWritable: {
        number: 2143,
        level: "info",
        text: "The disk has room again.",
        fields: ["duration"],
    },
    joinRequested: {
        number: 2138,
        level: "info",
        text: "A member requested to join the log group.",
        fields: ["group", "memberId", "address"],
    },
    peerConnected: {
        number: 2140,
        level: "info",
        text: "A connection to a peer was established.",
        fields: ["address", "memberId"],
    },
    peerRefused: {
        number: 2141,
        level: "warn",
        text: "A connection with a peer was rejected.",
        fields: ["address", "code"],
    },
} as const satisfies Readonly<Record<string, LogEventDefinition>>;
