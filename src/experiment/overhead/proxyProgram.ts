/** Runs a {@link PassThroughProxy} in its own process; the command-line arguments are the target addresses. */
import { once } from "node:events";
import process from "node:process";
import { PassThroughProxy } from "./passThroughProxy.js";

using proxy = new PassThroughProxy(process.argv.slice(2));
const address = await proxy.start();
process.stdout.write(`${JSON.stringify({ address })}\n`);
await once(process, "SIGTERM");
