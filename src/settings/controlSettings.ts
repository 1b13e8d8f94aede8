import { z } from "zod";
import { addressSchema, commonSettings, nameSchema } from "./commonSettings.js";

/** Schema of the settings of `gullhall-control`. */
export const controlSettingsSchema = z.strictObject({
    ...commonSettings,
    controls: z.array(
        z.strictObject({
            name: nameSchema.describe("Name of a control process."),
            peerAddress: addressSchema.describe("Address on which other control processes connect."),
            operatorAddress: addressSchema.describe("Address of the HTTP interface for operators."),
            entryAddress: addressSchema.describe("Address on which entries connect."),
        }).readonly(),
    ).min(1).readonly().describe("All control processes including this one; must be the same on every VM."),
    peerSecurity: z.discriminatedUnion("kind", [
        z.strictObject({
            kind: z.literal("mutualTls").describe("Both sides present a certificate."),
            keyFile: z.string().min(1).describe("Private key of this process, in PEM format."),
            certificateFile: z.string().min(1).describe("Certificate of this process, in PEM format."),
            authorityFile: z.string().min(1).describe(
                "Certificate of the authority that signed all certificates, in PEM format.",
            ),
        }).readonly(),
        z.strictObject({
            kind: z.literal("plainOnLoopback").describe("No authentication; allowed on loopback addresses only."),
        })
            .readonly(),
        z.strictObject({
            kind: z.literal("plainWithoutProof").describe(
                "No authentication on any network; whoever can reach the port is trusted.",
            ),
        }).readonly(),
    ]).describe("How control processes authenticate each other."),
    usageReportAddress: addressSchema.optional().describe("HTTP address at which the platform accepts usage reports."),
    metricsAddress: addressSchema.default("127.0.0.1:0").describe("Address that serves metrics and state over HTTP."),
    dataFolder: z.string().min(1).describe("Folder that stores the durable state."),
    operators: z.array(
        z.strictObject({
            name: nameSchema.describe("Name that is recorded with each change."),
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
