import type { z } from "zod";
import { faultSchema } from "../standIn/fault.js";
import { markdownTable } from "./markdownTable.js";

/** Markdown table of the faults that can be injected into stand-ins. */
export function faultTable(): string {
    const rows = faultSchema.options.map(option => {
        const { kind, ...fields } = option.shape;
        const names = Object.entries<z.ZodType>(fields).map(([name, field]) =>
            field.safeParse(undefined).success ? `${name}?` : name
        );
        return [`\`${kind.value}\``, names.map(name => `\`${name}\``).join(", "), option.description ?? ""];
    });
    return markdownTable(["kind", "further fields", "what happens"], rows);
}
