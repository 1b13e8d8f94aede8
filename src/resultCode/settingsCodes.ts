import type { ResultCodeDefinition } from "./resultCode.js";

/** Result codes 1000–1099: settings files and command lines. */
export const settingsCodes = {
    settingsUnreadable: {
        number: 1000,
        httpStatus: 500,
        text: "The file {file} cannot be read: {reason}.",
        advice: "Check the path and its permissions.",
    },
    settingsSyntax: {
        number: 1001,
        httpStatus: 400,
        text: "{file}:{line}: not valid JSON with comments: {reason}.",
        advice: "Correct the syntax at this line.",
    },
    settingsValue: {
        number: 1002,
        httpStatus: 400,
        text: "{file}:{line}: {path}: {reason}.",
        advice: "Correct the value; docs/OPERATIONS.md lists what is allowed.",
    },
    settingsUnknownName: {
        number: 1003,
        httpStatus: 400,
        text: "{file}:{line}: {path}: unknown name; nearest known name: {nearest}.",
        advice: "Correct or remove the name.",
    },
    settingsDuplicateName: {
        number: 1005,
        httpStatus: 400,
        text: "{file}:{line}: {path}: the name stands twice in one object.",
        advice: "Keep one of the two.",
    },
    startFailed: {
        number: 1004,
        httpStatus: 500,
        text: "The program could not start: {reason}.",
        advice: "Correct the cause; common ones are an address in use and a folder without write permission.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
