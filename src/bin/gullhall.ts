#!/usr/bin/env node
/** `gullhall`: the command line for operators. */
import { hideBin } from "yargs/helpers";
import { runCommandLine } from "../operator/commandLine.js";
import { ProcessSurroundings } from "../operator/surroundings.js";
import { packageVersion } from "../util/packageVersion.js";

process.exitCode = await runCommandLine(hideBin(process.argv), packageVersion(), new ProcessSurroundings());
