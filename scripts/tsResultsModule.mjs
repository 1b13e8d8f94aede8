/**
 * Replaces `ts-results` in bundles, because its main file is a UMD module whose internal imports esbuild cannot
 * resolve.
 */
import * as results from "../node_modules/ts-results/esm/index.js";

export default results;
