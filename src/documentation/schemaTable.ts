import { z } from "zod";
import { markdownTable } from "./markdownTable.js";

/** The keywords of a JSON schema that the tables use. */
interface SchemaNode {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly enum?: readonly unknown[];
    readonly const?: unknown;
    readonly minimum?: number;
    readonly exclusiveMinimum?: number;
    readonly maximum?: number;
    readonly minItems?: number;
    readonly properties?: Readonly<Record<string, SchemaNode>>;
    readonly required?: readonly string[];
    readonly items?: SchemaNode;
    readonly anyOf?: readonly SchemaNode[];
    readonly oneOf?: readonly SchemaNode[];
}

/** Markdown table of all properties that a schema allows, nested ones included. */
export function schemaTable(schema: z.ZodType): string {
    const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as SchemaNode;
    return markdownTable(["name", "value", "default", "meaning"], propertyRows(root, ""));
}

function propertyRows(node: SchemaNode, prefix: string): readonly (readonly string[])[] {
    const required = new Set(node.required ?? []);
    return Object.entries(node.properties ?? {}).flatMap(([name, property]) => {
        const path = `${prefix}${name}`;
        const row = [
            `\`${path}\``,
            formatType(property),
            formatDefault(property, required.has(name)),
            property.description ?? "",
        ];
        return [row, ...nestedRows(property, path)];
    });
}

function nestedRows(node: SchemaNode, path: string): readonly (readonly string[])[] {
    if (node.items !== undefined) {
        return nestedRows(node.items, `${path}[]`);
    }
    const alternatives = (node.oneOf ?? node.anyOf ?? []).filter(alternative => alternative.properties !== undefined);
    return [
        ...propertyRows(node, `${path}.`),
        ...alternatives.flatMap(alternative => propertyRows(alternative, `${path}.`)),
    ];
}

function formatDefault(node: SchemaNode, required: boolean): string {
    if (node.default !== undefined) {
        return `\`${JSON.stringify(node.default)}\``;
    }
    return required ? "required" : "none";
}

function formatType(node: SchemaNode): string {
    if (node.const !== undefined) {
        return `\`${JSON.stringify(node.const)}\``;
    }
    if (node.enum !== undefined) {
        return node.enum.map(value => `\`${JSON.stringify(value)}\``).join(", ");
    }
    const alternatives = node.oneOf ?? node.anyOf;
    if (alternatives !== undefined) {
        return alternatives.map(formatType).join(" or ");
    }
    if (node.items !== undefined) {
        return `list of ${formatType(node.items)}`;
    }
    return `${node.type ?? "any"}${formatRange(node)}`;
}

function formatRange({ type, minimum, exclusiveMinimum, maximum }: SchemaNode): string {
    if (type !== "integer" && type !== "number") {
        return "";
    }
    const lower = exclusiveMinimum === undefined
        ? minimum === undefined || minimum === Number.MIN_SAFE_INTEGER ? "" : ` from ${minimum}`
        : ` above ${exclusiveMinimum}`;
    return maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? lower : `${lower} to ${maximum}`;
}
