#!/usr/bin/env node
/** `gullhall`: the operators' command line. */
import { hideBin } from "yargs/helpers";
import { runCommandLine } from "../operator/commandLine.js";
import { ProcessSurroundings } from "../operator/surroundings.js";
import { packageVersion } from "../util/packageVersion.js";

process.exitCode = await runCommandLine(hideBin(process.argv), packageVersion(), new ProcessSurroundings());
