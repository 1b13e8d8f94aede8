import type { ResultCodeDefinition } from "./resultCode.js";

/** Result codes 1100–1199: validation and numbering of manifests. */
export const manifestCodes = {
    manifestInvalid: {
        number: 1100,
        httpStatus: 400,
        text: "The manifest has {count} faults.",
        advice: "Correct every listed fault and submit it again.",
    },
    manifestReference: {
        number: 1101,
        httpStatus: 400,
        text: "{file}:{line}: {path}: names {name}, which the manifest does not define.",
        advice: "Define it or correct the name.",
    },
    manifestDuplicate: {
        number: 1102,
        httpStatus: 400,
        text: "{file}:{line}: {path}: {name} is defined twice.",
        advice: "Keep one definition.",
    },
    manifestStale: {
        number: 1110,
        httpStatus: 409,
        text: "Manifest number {number} is lower than {current}, the number in force.",
        advice: "Take a number above the one in force.",
    },
    manifestConflict: {
        number: 1111,
        httpStatus: 409,
        text: "Manifest number {number} was already accepted with other content.",
        advice: "Compare with `gullhall diff` and take a higher number.",
    },
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;
