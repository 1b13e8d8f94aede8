/** Number of characters that count as one prompt token. */
const charactersPerToken = 4;

/** Median length of the completions whose prompt does not set a length, in tokens. */
const medianTokens = 80;

/** Maximum length of the completions whose prompt does not set a length, in tokens. */
const maximumSampledTokens = 1000;

/** Sampled lengths range from the median divided by 2 to this power, to the median multiplied by it. */
const lengthSpreadExponent = 3;

/** Marker in a prompt that sets the number of tokens of its completion. */
const tokenCountPattern = /\[answer-tokens: (\d{1,6})\]/;

const consonants = ["b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "w", "z", "h"];
const vowels = ["a", "e", "i", "o"];

/** Number of tokens of a prompt or another text, at four characters a token. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/**
 * The completion that every stand-in engine generates for a prompt.
 *
 * Token n is a pure function of model, prompt and n, so that a test can check whether a completion is correct and
 * complete.
 */
export class DeterministicCompletion {
    private readonly seed: number;
    /** Length of the completion without a limit by the caller, in tokens. */
    readonly fullTokenCount: number;

    /**
     * @param model Name of the model as sent by the caller.
     * @param prompt Text of the prompt; see `promptText`.
     */
    constructor(model: string, prompt: string) {
        this.seed = hashText(`${model}\n${prompt}`);
        this.fullTokenCount = parseRequestedTokens(prompt) ?? sampleTokenCount(this.seed);
    }

    /** Text of a token; numbers start at 0, and tokens are concatenated without a separator. */
    token(number: number): string {
        const bits = mix(this.seed ^ Math.imul(number + 1, 0x9e3779b1));
        return `${syllable(bits)}${syllable(bits >>> 6)}${syllable(bits >>> 12)} `;
    }

    /** Length of the completion in tokens when the caller allows at most `limit` tokens. */
    tokenCount(limit: number | undefined): number {
        return Math.min(this.fullTokenCount, limit ?? this.fullTokenCount);
    }

    /** Text of the tokens from `start` (inclusive) to `end` (exclusive). */
    text(start: number, end: number): string {
        let text = "";
        for (let number = start; number < end; number++) {
            text += this.token(number);
        }
        return text;
    }
}

/** The complete text that a caller must receive. */
export function expectedCompletion(model: string, prompt: string, maximumTokens?: number): string {
    const completion = new DeterministicCompletion(model, prompt);
    return completion.text(0, completion.tokenCount(maximumTokens));
}

function parseRequestedTokens(prompt: string): number | undefined {
    const tokenCount = tokenCountPattern.exec(prompt)?.[1];
    return tokenCount === undefined ? undefined : Math.max(1, Number(tokenCount));
}

function sampleTokenCount(seed: number): number {
    const uniform = mix(seed) / 2 ** 32;
    const length = medianTokens * 2 ** ((2 * uniform - 1) * lengthSpreadExponent);
    return Math.min(maximumSampledTokens, Math.round(length));
}

function syllable(bits: number): string {
    return `${consonants[bits & 15] ?? ""}${vowels[(bits >>> 4) & 3] ?? ""}`;
}

/** FNV-1a over the UTF-16 code units of a text, finished with {@link mix}. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return mix(hash);
}

/** The finalizer of MurmurHash3; returns an unsigned 32-bit integer. */
function mix(value: number): number {
    let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
