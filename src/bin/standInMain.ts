/** Main module of `gullhall-stand-in`. */
import process from "node:process";
import yargs from "yargs";
import type { Options } from "yargs";
import { hideBin } from "yargs/helpers";
import { ModelEngine } from "../standIn/modelEngine/modelEngine.js";
import { PlainService } from "../standIn/plainService/plainService.js";
import { engineKindsSchema, EngineKindStarter } from "../standIn/platform/engineKindStarter.js";
import { Platform } from "../standIn/platform/platform.js";
import { runStandIn } from "../standIn/runStandIn.js";
import { SystemClock } from "../util/clock.js";
import { packageVersion } from "../util/packageVersion.js";
import { processSignals } from "./processSignals.js";
import { usageErrorHandler } from "./usageError.js";

const clock = new SystemClock();
const { stopRequested } = processSignals;

const flagDefinitions = {
    port: { type: "number", default: 0, describe: "Port on 127.0.0.1; 0 selects a free port" },
    name: { type: "string", describe: "Name of this stand-in" },
    options: { type: "string", default: "{}", describe: "Further options of the role, as a JSON object" },
    "check-settings": { type: "boolean", default: false, describe: "Validate the options and exit" },
} as const satisfies Readonly<Record<string, Options>>;

const platformFlags = {
    ...flagDefinitions,
    engineKinds: {
        type: "string",
        default: "{\"stand-in\": {\"role\": \"engine\", \"options\": {}}}",
        describe: "What an order starts for each engine kind: {KIND: {role: engine or service, options}}",
    },
} as const satisfies Readonly<Record<string, Options>>;

const commandLine = yargs(hideBin(process.argv))
    .scriptName("gullhall-stand-in")
    .command("engine", "A model engine", flagDefinitions, async flags => {
        await runStandIn("engine", flags, stopRequested, options => new ModelEngine(options, clock));
    })
    .command("service", "A plain service", flagDefinitions, async flags => {
        await runStandIn("service", flags, stopRequested, options => new PlainService(options, clock));
    })
    .command("platform", "The platform's interfaces", platformFlags, async flags => {
        await runStandIn("platform", flags, stopRequested, options => {
            const kinds = engineKindsSchema.parse(JSON.parse(flags.engineKinds));
            return new Platform(options, clock, new EngineKindStarter(clock, kinds));
        });
    })
    .demandCommand(1, 1, "specify a role: engine, service or platform")
    .strict()
    .version(packageVersion())
    .fail(usageErrorHandler("gullhall-stand-in"));

await commandLine.parseAsync();
// Node.js removes its signal handlers while it ends by itself.
process.exit();
