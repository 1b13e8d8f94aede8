#!/usr/bin/env node
/** `gullhall`: the operators' command line. */
import { hideBin } from "yargs/helpers";
import { runCommandLine } from "../operator/commandLine.js";
import { packageVersion } from "../util/packageVersion.js";

await runCommandLine(hideBin(process.argv), packageVersion());
