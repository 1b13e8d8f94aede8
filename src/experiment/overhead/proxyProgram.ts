/** Runs a {@link PassThroughProxy} as a process of its own; the targets are the arguments. */
import { once } from "node:events";
import process from "node:process";
import { PassThroughProxy } from "./passThroughProxy.js";

using proxy = new PassThroughProxy(process.argv.slice(2));
const address = await proxy.start();
process.stdout.write(`${JSON.stringify({ address })}\n`);
await once(process, "SIGTERM");
