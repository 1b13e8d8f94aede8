import type { EngineOptions } from "./engineOptions.js";

/** A model that an engine has loaded. */
export interface LoadedModel {
    readonly model: string;
    readonly version: string;
}

/** What orders change in an engine. */
export class EngineState {
    private loaded: readonly LoadedModel[];
    private loadedAdapters: readonly string[];
    /** Which part of the work the engine does. */
    role: EngineOptions["role"];
    /** Whether the engine takes no new work. */
    leaving = false;

    constructor(private readonly options: EngineOptions) {
        this.loaded = options.models.map(model => ({ model, version: options.version }));
        this.loadedAdapters = options.adapters;
        this.role = options.role;
    }

    /** The loaded models, newest last. */
    get models(): readonly LoadedModel[] {
        return this.loaded;
    }

    get adapters(): readonly string[] {
        return this.loadedAdapters;
    }

    /** Loads a model in place of another version of it or, when there is no room, of the oldest model. */
    loadModel(model: string, version: string): void {
        const others = this.loaded.filter(entry => entry.model !== model);
        this.loaded = [...others, { model, version }].slice(-this.options.maximumModels);
    }

    /** Loads an adapter beside those that are loaded. */
    loadAdapter(adapter: string): void {
        this.loadedAdapters = [...this.loadedAdapters.filter(entry => entry !== adapter), adapter];
    }

    /** Whether a request's model, version and adapter are loaded. */
    serves(model: string, version: string | undefined, adapter: string | undefined): boolean {
        const found = this.loaded.find(entry => entry.model === model);
        const versionFits = version === undefined || found?.version === version;
        return found !== undefined && versionFits && (adapter === undefined || this.adapters.includes(adapter));
    }
}
