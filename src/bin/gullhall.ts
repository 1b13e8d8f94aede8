#!/usr/bin/env node
/** `gullhall`: the operators' command line. */
import { hideBin } from "yargs/helpers";
import { ProcessCommandContext } from "../operator/commandContext.js";
import { runCommandLine } from "../operator/commandLine.js";
import { packageVersion } from "../util/packageVersion.js";

process.exitCode = await runCommandLine(hideBin(process.argv), packageVersion(), new ProcessCommandContext());
