import { z } from "zod";
import { addressSchema, commonSettings, nameSchema } from "./commonSettings.js";

/** Schema of the settings of `gullhall-control`. */
export const controlSettingsSchema = z.strictObject({
    ...commonSettings,
    controls: z.array(
        z.strictObject({
            name: nameSchema.describe("Name of a control process."),
            peerAddress: addressSchema.describe("Where the other control processes connect."),
            operatorAddress: addressSchema.describe("Where operators are answered, over HTTP."),
            entryAddress: addressSchema.describe("Where entries connect."),
        }).readonly(),
    ).min(1).readonly().describe("Every control process, this one included; the same on each VM."),
    peerSecurity: z.discriminatedUnion("kind", [
        z.strictObject({
            kind: z.literal("mutualTls").describe("Each side shows a certificate."),
            keyFile: z.string().min(1).describe("Private key of this process, PEM."),
            certificateFile: z.string().min(1).describe("Its certificate, PEM."),
            authorityFile: z.string().min(1).describe("Certificate of the authority that signed all of them, PEM."),
        }).readonly(),
        z.strictObject({ kind: z.literal("plainOnLoopback").describe("No proof, on loopback addresses alone.") })
            .readonly(),
        z.strictObject({
            kind: z.literal("plainWithoutProof").describe(
                "No proof on any network; whoever reaches the port is trusted.",
            ),
        }).readonly(),
    ]).describe("How control processes prove to each other who they are."),
    usageReportAddress: addressSchema.optional().describe("Where the platform takes usage reports, over HTTP."),
    metricsAddress: addressSchema.default("127.0.0.1:0").describe("Where metrics and state are shown, over HTTP."),
    dataFolder: z.string().min(1).describe("Folder of the durable state."),
    operators: z.array(
        z.strictObject({
            name: nameSchema.describe("Name that records of changes show."),
            tokenDigest: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal")
                .describe("SHA-256 of the token's text."),
        }).readonly(),
    ).readonly().describe("Operators and the SHA-256 digests of their tokens."),
}).readonly().refine(settings => settings.controls.some(control => control.name === settings.name), {
    path: ["name"],
    error: "must be the name of one of the controls",
});

/** Settings of `gullhall-control`. */
export type ControlSettings = z.output<typeof controlSettingsSchema>;
