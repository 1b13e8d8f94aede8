import type { EngineOptions } from "./engineOptions.js";

/** A model that an engine has loaded. */
export interface LoadedModel {
    readonly model: string;
    readonly version: string;
}

/** The state of an engine that orders change. */
export class EngineState {
    private loadedModels: readonly LoadedModel[];
    private loadedAdapters: readonly string[];
    /** Whether the engine is optimized for prefill, for decoding, or for neither. */
    role: EngineOptions["role"];
    /** Whether the engine is leaving: it rejects new work. */
    leaving = false;

    constructor(private readonly options: EngineOptions) {
        this.loadedModels = options.models.map(model => ({ model, version: options.version }));
        this.loadedAdapters = options.adapters;
        this.role = options.role;
    }

    /** The loaded models, newest last. */
    get models(): readonly LoadedModel[] {
        return this.loadedModels;
    }

    get adapters(): readonly string[] {
        return this.loadedAdapters;
    }

    /** Loads a model; replaces another version of it, or unloads the oldest model when the maximum is exceeded. */
    loadModel(model: string, version: string): void {
        const others = this.loadedModels.filter(entry => entry.model !== model);
        this.loadedModels = [...others, { model, version }].slice(-this.options.maximumModels);
    }

    /** Loads an adapter in addition to the loaded ones. */
    loadAdapter(adapter: string): void {
        this.loadedAdapters = [...this.loadedAdapters.filter(entry => entry !== adapter), adapter];
    }

    /** Whether the model, version and adapter of a request are loaded; undefined matches any version or adapter. */
    serves(model: string, version: string | undefined, adapter: string | undefined): boolean {
        const found = this.loadedModels.find(entry => entry.model === model);
        const versionMatches = version === undefined || found?.version === version;
        return found !== undefined && versionMatches && (adapter === undefined || this.adapters.includes(adapter));
    }
}
