#!/usr/bin/env node
/**
 * The program `gullhall-stand-in`: one stand-in for an outside system on loopback, for tests and the quickstart.
 *
 * When it serves it prints one line of JSON on standard output, `{"role", "name", "address"}`. SIGTERM and SIGINT end
 * it: it lets running requests finish for a while, then closes. Exit codes: 0 ended on a signal, 1 could not start,
 * 2 wrong command line.
 */
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
import { usageFaultHandler } from "./usageFault.js";

const clock = new SystemClock();

const flagDefinitions = {
    port: { type: "number", default: 0, describe: "Port on 127.0.0.1; 0 takes a free one" },
    name: { type: "string", describe: "Name of this stand-in" },
    options: { type: "string", default: "{}", describe: "Further options of the role, as a JSON object" },
    "check-settings": { type: "boolean", default: false, describe: "Check the options and end" },
} as const satisfies Readonly<Record<string, Options>>;

const platformFlags = {
    ...flagDefinitions,
    engineKinds: {
        type: "string",
        default: "{\"stand-in\": {\"role\": \"engine\", \"options\": {}}}",
        describe: "What an order starts, by engine kind: {KIND: {role: engine or service, options}}",
    },
} as const satisfies Readonly<Record<string, Options>>;

const commandLine = yargs(hideBin(process.argv))
    .scriptName("gullhall-stand-in")
    .command("engine", "A model engine", flagDefinitions, async flags => {
        await runStandIn("engine", flags, options => new ModelEngine(options, clock));
    })
    .command("service", "A plain service", flagDefinitions, async flags => {
        await runStandIn("service", flags, options => new PlainService(options, clock));
    })
    .command("platform", "The platform's interfaces", platformFlags, async flags => {
        await runStandIn("platform", flags, options => {
            const kinds = engineKindsSchema.parse(JSON.parse(flags.engineKinds));
            return new Platform(options, clock, new EngineKindStarter(clock, kinds));
        });
    })
    .demandCommand(1, 1, "name a role: engine, service or platform")
    .strict()
    .version(packageVersion())
    .fail(usageFaultHandler("gullhall-stand-in"));

await commandLine.parseAsync();
