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
    storageFull: {
        number: 1220,
        httpStatus: 503,
        text: "The disk is full: {operation} of {name} failed.",
        advice: "Free space on the data folder; the member goes on by itself.",
    },
    storageFailed: {
        number: 1221,
        httpStatus: 500,
        text: "The disk failed: {operation} of {name}: {reason}.",
        advice: "Check the disk and restart the member; replace its data folder if the fault stays.",
    },
    logDamaged: {
        number: 1222,
        httpStatus: 500,
        text: "The file {name} of the data folder is damaged at byte {offset}.",
        advice: "Empty the data folder and restart the member; it comes back as a new one.",
    },
    logIncomplete: {
        number: 1223,
        httpStatus: 500,
        text: "The data folder is incomplete: {reason}.",
        advice: "Empty the data folder and restart the member; it comes back as a new one.",
    },
    logFolderForeign: {
        number: 1224,
        httpStatus: 500,
        text: "The file {name} belongs to {found}, not to {expected}.",
        advice: "Give the member its own data folder.",
    },
    logFolderOutdated: {
        number: 1225,
        httpStatus: 500,
        text:
            "The data folder is older than what member {memberId} acknowledged (position {acknowledged}, now {position}).",
        advice: "Empty the data folder and restart the member; it comes back as a new one.",
    },
    logDiverged: {
        number: 1226,
        httpStatus: 500,
        text: "The leader's entries contradict a committed entry at position {position}.",
        advice: "Stop the member and report the fault; it must not serve again with this data folder.",
    },
    logStateUnreadable: {
        number: 1227,
        httpStatus: 500,
        text: "The data folder holds a record that cannot be understood: {reason}.",
        advice: "Check the program's version; otherwise empty the data folder and restart the member.",
    },
    proposalQueueFull: {
        number: 1228,
        httpStatus: 503,
        text: "{waiting} commands already wait to be written.",
        advice: "Try again shortly.",
    },
    commandTooLarge: {
        number: 1229,
        httpStatus: 413,
        text: "A command of {bytes} bytes exceeds the limit of {limit} bytes.",
        advice: "Split the change.",
    },
    membershipChangeRefused: {
        number: 1230,
        httpStatus: 409,
        text: "The change of members was refused: {reason}.",
        advice: "Check the members and try again.",
    },
    memberNotAdmitted: {
        number: 1231,
        httpStatus: 403,
        text: "The member {memberId} at {address} is not one that the cluster expects.",
        advice: "Admit it as a learner first.",
    },
    timingInvalid: {
        number: 1232,
        httpStatus: 400,
        text: "The timing of the log is not usable: {reason}.",
        advice: "Correct the settings.",
    },
    peerClusterMismatch: {
        number: 1240,
        httpStatus: 403,
        text: "The peer belongs to cluster {found}, not to {expected}.",
        advice: "Check the addresses and cluster names in the settings.",
    },
    peerVersionMismatch: {
        number: 1241,
        httpStatus: 400,
        text: "The peer speaks protocol version {found}, not {expected}.",
        advice: "Bring all control processes to versions that fit together.",
    },
    peerMessageInvalid: {
        number: 1242,
        httpStatus: 400,
        text: "The peer sent a message that cannot be understood: {reason}.",
        advice: "The connection was closed; check what the peer is.",
    },
    peerPlainRefused: {
        number: 1243,
        httpStatus: 400,
        text: "A plain connection to {address} leaves the loopback interface.",
        advice: "Set up mutual TLS, or allow plain connections by name in the settings.",
    },
    peerKeysUnreadable: {
        number: 1244,
        httpStatus: 400,
        text: "The key files for peers cannot be used: {reason}.",
        advice: "Check the paths and contents of key, certificate and authority.",
    },
    peerListenFailed: {
        number: 1245,
        httpStatus: 500,
        text: "The address {address} cannot be listened on: {reason}.",
        advice: "Check that the address is free and belongs to this VM.",
    },
    peerHelloMissing: {
        number: 1246,
        httpStatus: 400,
        text: "The peer did not introduce itself in time.",
        advice: "The connection was closed; check what the peer is.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
