import type { ResultCodeDefinition } from "./resultCode.js";

/** Result codes 1500–1599: the command line and HTTP interface for operators. */
export const operatorCodes = {
    commandLineInvalid: {
        number: 1500,
        httpStatus: 400,
        text: "The command line is invalid: {reason}.",
        advice: "See `{program} --help`.",
    },
    tokenMissing: {
        number: 1501,
        httpStatus: 401,
        text: "No operator token was given.",
        advice: "Set GULLHALL_TOKEN, or pass a file with --token-file.",
    },
    controlAddressMissing: {
        number: 1502,
        httpStatus: 400,
        text: "No address of a control process was given.",
        advice: "Set GULLHALL_CONTROL, or use --control or --settings.",
    },
    keyNameUnknown: {
        number: 1503,
        httpStatus: 404,
        text: "Team {team} has no key named {name} in force.",
        advice: "Check the names, or withdraw the key by its digest.",
    },
    answerUnreadable: {
        number: 1504,
        httpStatus: 502,
        text: "The response of the control process has an unexpected format.",
        advice: "Check that --control lists operator addresses and that both sides run the same version.",
    },
    entryUnknown: {
        number: 1505,
        httpStatus: 404,
        text: "No entry named {entry} is connected to the leader.",
        advice: "Check the name with `gullhall status`.",
    },
    drainNotBegun: {
        number: 1507,
        httpStatus: 504,
        text: "Entry {entry} did not start to drain in time.",
        advice: "Check `gullhall status`, and repeat the command.",
    },
    optionsInvalid: {
        number: 1506,
        httpStatus: 400,
        text: "The options of the stand-in are invalid: {reason}.",
        advice: "Correct the JSON object after --options.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
