import { z } from "zod";
import { markdownTable } from "./markdownTable.js";

/** The parts of a JSON schema that the tables show. */
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

/** The table of everything that a settings file or manifest may hold. */
export function schemaTable(schema: z.ZodType): string {
    const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as SchemaNode;
    return markdownTable(["name", "value", "default", "meaning"], memberRows(root, ""));
}

function memberRows(node: SchemaNode, prefix: string): readonly (readonly string[])[] {
    const required = new Set(node.required ?? []);
    return Object.entries(node.properties ?? {}).flatMap(([name, member]) => {
        const path = `${prefix}${name}`;
        const row = [
            `\`${path}\``,
            valueText(member),
            defaultText(member, required.has(name)),
            member.description ?? "",
        ];
        return [row, ...innerRows(member, path)];
    });
}

function innerRows(node: SchemaNode, path: string): readonly (readonly string[])[] {
    if (node.items !== undefined) {
        return innerRows(node.items, `${path}[]`);
    }
    const alternatives = (node.oneOf ?? node.anyOf ?? []).filter(alternative => alternative.properties !== undefined);
    return [
        ...memberRows(node, `${path}.`),
        ...alternatives.flatMap(alternative => memberRows(alternative, `${path}.`)),
    ];
}

function defaultText(node: SchemaNode, required: boolean): string {
    if (node.default !== undefined) {
        return `\`${JSON.stringify(node.default)}\``;
    }
    return required ? "required" : "none";
}

function valueText(node: SchemaNode): string {
    if (node.const !== undefined) {
        return `\`${JSON.stringify(node.const)}\``;
    }
    if (node.enum !== undefined) {
        return node.enum.map(value => `\`${JSON.stringify(value)}\``).join(", ");
    }
    const alternatives = node.oneOf ?? node.anyOf;
    if (alternatives !== undefined) {
        return alternatives.map(valueText).join(" or ");
    }
    if (node.items !== undefined) {
        return `list of ${valueText(node.items)}`;
    }
    return `${node.type ?? "any"}${boundText(node)}`;
}

function boundText({ type, minimum, exclusiveMinimum, maximum }: SchemaNode): string {
    if (type !== "integer" && type !== "number") {
        return "";
    }
    const lower = exclusiveMinimum === undefined
        ? minimum === undefined || minimum === Number.MIN_SAFE_INTEGER ? "" : ` from ${minimum}`
        : ` above ${exclusiveMinimum}`;
    return maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? lower : `${lower} to ${maximum}`;
}
