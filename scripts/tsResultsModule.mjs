/** Stands for `ts-results` in bundles: its main file is a UMD module, whose inner imports a bundler cannot follow. */
import * as results from "../node_modules/ts-results/esm/index.js";

export default results;
