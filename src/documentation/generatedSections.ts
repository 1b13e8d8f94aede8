import { loadPlanSchema } from "../experiment/load/loadPlan.js";
import { controlSettingsSchema } from "../settings/controlSettings.js";
import { entrySettingsSchema } from "../settings/entrySettings.js";
import { operatorSettingsSchema } from "../settings/operatorSettings.js";
import { engineOptionsSchema } from "../standIn/modelEngine/engineOptions.js";
import { plainServiceOptionsSchema } from "../standIn/plainService/plainServiceOptions.js";
import { platformOptionsSchema } from "../standIn/platform/platformOptions.js";
import { manifestSchema } from "../version/manifest.js";
import { logEventTable, resultCodeTable } from "./catalogueTables.js";
import { faultTable } from "./faultTable.js";
import { schemaTable } from "./schemaTable.js";

/** A section of a documentation page that is generated from the code. */
export interface GeneratedSection {
    /** Path of the page, relative to the root of the project. */
    readonly page: string;
    /** Name in the comments that delimit the section. */
    readonly name: string;
    readonly content: () => string;
}

/** All generated sections. */
export const generatedSections: readonly GeneratedSection[] = [
    { page: "docs/RESULT-CODES.md", name: "result codes", content: resultCodeTable },
    { page: "docs/LOG-EVENTS.md", name: "log events", content: logEventTable },
    { page: "docs/OPERATIONS.md", name: "control settings", content: () => schemaTable(controlSettingsSchema) },
    { page: "docs/OPERATIONS.md", name: "entry settings", content: () => schemaTable(entrySettingsSchema) },
    { page: "docs/OPERATIONS.md", name: "operator settings", content: () => schemaTable(operatorSettingsSchema) },
    { page: "docs/OPERATIONS.md", name: "manifest", content: () => schemaTable(manifestSchema) },
    { page: "docs/STAND-INS.md", name: "engine options", content: () => schemaTable(engineOptionsSchema) },
    { page: "docs/STAND-INS.md", name: "service options", content: () => schemaTable(plainServiceOptionsSchema) },
    { page: "docs/STAND-INS.md", name: "platform options", content: () => schemaTable(platformOptionsSchema) },
    { page: "docs/STAND-INS.md", name: "faults", content: faultTable },
    { page: "docs/STAND-INS.md", name: "load plan", content: () => schemaTable(loadPlanSchema) },
];

/**
 * Replaces the content of a section; the rest of the page is unchanged.
 *
 * @returns The new text of the page; undefined if it lacks the comments that delimit the section.
 */
export function replaceSection(text: string, name: string, content: string): string | undefined {
    const startMarker = `<!-- generated: ${name} -->`;
    const endMarker = `<!-- end: ${name} -->`;
    const start = text.indexOf(startMarker);
    const end = text.indexOf(endMarker);
    if (start === -1 || end < start) {
        return undefined;
    }
    return `${text.slice(0, start)}${startMarker}\n\n${content}\n\n${text.slice(end)}`;
}
