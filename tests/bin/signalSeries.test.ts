import { execFile } from "node:child_process";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { promisify } from "node:util";
import { describe, itSerially } from "../describe.js";
import { orderlyEnd, serverPrograms, settingsOf, SignalledProgram } from "./signalledProgram.js";

const programs = serverPrograms.map((name, index) => ({ name, host: `127.0.171.${index + 1}` }));

/** Events that tell that a program serves; hosted programs log the first one before they start to listen. */
const startedEvent = 2000;

const stoppingEvent = 2001;
const stoppedEvent = 2002;
const ignoredEvent = 2003;

/** When a signal is sent after the process was spawned, in milliseconds. */
const earlyDelays = [0, 30, 80, 160, 320];

describe("a series of signals", () => {
    for (const { name, host } of programs) {
        // Guards against a second stop signal that ends a process at once, and a SIGHUP that ends it at all.
        itSerially(`does not end ${name} before its stop has ended`, async t => {
            await using program = await SignalledProgram.start(name, host);
            await program.waitForEvent(startedEvent);
            await program.signal(10, "SIGHUP", "SIGHUP", "SIGTERM");
            const end = await program.signalUntilEnd(20, "SIGTERM", "SIGINT", "SIGHUP", "SIGINT", "SIGTERM");
            t.deepEqual(end, orderlyEnd, program.errors);
            const events = program.stopEvents;
            t.deepEqual([events.at(0), events.at(-1)], [stoppingEvent, stoppedEvent]);
            t.is(events.filter(event => event !== ignoredEvent).length, 2);
            t.is(program.log.find(line => line.event === stoppingEvent)?.["reason"], "SIGTERM");
        });

        // Guards against signals that end a process while it releases its last resources.
        itSerially(`does not end ${name} in its last moments`, async t => {
            await using program = await SignalledProgram.start(name, host);
            await program.waitForEvent(startedEvent);
            t.deepEqual(await program.signalUntilEnd(0, "SIGINT"), orderlyEnd, program.errors);
            t.is(program.log.at(-1)?.event, stoppedEvent);
        });

        // Guards against a window without handlers while the modules of a program are loaded.
        itSerially(`finds handlers in ${name} before other modules are loaded`, async t => {
            await using program = await SignalledProgram.start(name, host);
            await program.waitUntil(each => each.hasHandlers);
            await program.signal(0, "SIGTERM");
            t.deepEqual(await program.waitForEnd(), orderlyEnd, program.errors);
            t.deepEqual(JSON.parse(program.errors), { handlersInstalled: true, isHttpLoaded: false });
            t.is(program.log.at(-1)?.event, stoppedEvent);
        });

        // Guards against signals that end a process that has handlers but does not serve yet.
        itSerially(`stops ${name} in order however early it comes, or ends it before it has handlers`, async t => {
            for (const delay of earlyDelays) {
                for (const signal of ["SIGTERM", "SIGHUP"] as const) {
                    await using program = await SignalledProgram.start(name, host);
                    await program.signal(delay, signal);
                    await program.waitUntil(each => each.hasHandlers);
                    await program.signal(0, "SIGTERM");
                    const end = await program.waitForEnd();
                    const expected = program.hasHandlers ? orderlyEnd : { code: undefined, signal };
                    t.deepEqual(end, expected, `${signal} after ${delay}: ${program.errors}`);
                    t.is(program.log.at(-1)?.event, program.hasHandlers ? stoppedEvent : undefined);
                }
            }
        });
    }

    for (const { name, host } of programs.filter(each => each.name.startsWith("gullhallHosted"))) {
        // Guards against bundles that load other modules before the handlers, or that do not run.
        itSerially(`finds handlers in the bundled ${name} before other modules are loaded`, async t => {
            await promisify(execFile)(process.execPath, ["scripts/bundleHosted.mjs"]);
            await using program = await SignalledProgram.start(name, host, {}, `target/bundle/hosted/${name}.mjs`);
            await program.waitForEvent(startedEvent);
            await program.signal(0, "SIGHUP", "SIGTERM", "SIGTERM");
            t.deepEqual(await program.waitForEnd(), orderlyEnd, program.errors);
            t.deepEqual(JSON.parse(program.errors), { handlersInstalled: true, isHttpLoaded: false });
            t.is(program.log.at(-1)?.event, stoppedEvent);
        });
    }

    for (const [kind, waitsFor] of [["own", "settings"], ["own", "start"], ["hosted", "start"]] as const) {
        // Guards against a process that can only be killed while it waits for a disk or an address.
        itSerially(`stops an ${kind} program in order that waits for its ${waitsFor} for ever`, async t => {
            const folder = await mkdtemp(join(tmpdir(), "gullhall-signals-"));
            const settings = join(folder, "settings.json");
            await writeFile(settings, JSON.stringify(await settingsOf("gullhallHostedEntry", "127.0.171.9", folder)));
            await using program = await SignalledProgram.run(
                folder,
                "dist/tests/bin/stalledProgram.js",
                settings,
                kind,
                waitsFor,
            );
            await program.waitUntil(each => each.hasHandlers);
            await program.signal(0, "SIGHUP");
            await program.signal(500, "SIGTERM");
            t.deepEqual(await program.waitForEnd(), orderlyEnd, program.errors);
            t.deepEqual(program.stopEvents, [stoppingEvent, stoppedEvent]);
        });
    }

    for (const name of ["gullhallHostedEntry", "gullhallHostedControl"] as const) {
        // Guards against a stop that is forgotten while a process waits for a settings file that is not there yet.
        itSerially(`stops ${name} in order while it waits for its settings`, async t => {
            const folder = await mkdtemp(join(tmpdir(), "gullhall-signals-"));
            await using program = await SignalledProgram.run(
                folder,
                `dist/src/bin/${name}.js`,
                join(folder, "missing"),
            );
            await program.waitUntil(each => each.hasHandlers);
            await program.signal(500, "SIGTERM");
            t.deepEqual(await program.waitForEnd(), orderlyEnd, program.errors);
            t.deepEqual(program.stopEvents, [stoppingEvent, stoppedEvent]);
        });
    }
});
