#!/usr/bin/env node
/** `gullhall`: the command line for operators. */
import { hideBin } from "yargs/helpers";
import { ProcessCommandContext } from "../operator/commandContext.js";
import { runCommandLine } from "../operator/commandLine.js";
import { packageVersion } from "../util/packageVersion.js";

process.exitCode = await runCommandLine(hideBin(process.argv), packageVersion(), new ProcessCommandContext());
