#!/usr/bin/env node
/**
 * `gullhall-stand-in`: simulates one external system on a loopback address, for tests and the quickstart.
 *
 * Once it is listening, it prints one line of JSON to standard output: `{"role", "name", "address"}`. On SIGTERM or
 * SIGINT it lets running requests finish for a limited time, then exits; further signals and SIGHUP have no effect. Exit
 * codes: 0 after a signal, 1 if it could not start, 2 if the command line is invalid.
 */
import "./processSignals.js";

await import("./standInMain.js");
