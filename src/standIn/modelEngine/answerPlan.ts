/** Characters that count as one token of a prompt. */
const charactersPerToken = 4;

/** Median number of tokens of an answer whose prompt does not set it. */
const medianLength = 80;

/** Longest answer of a prompt that does not set its length, in tokens. */
const longestNaturalLength = 1000;

/** Largest factor by which the length of an answer differs from the median, as a power of two. */
const lengthSpread = 3;

/** In a prompt, sets the number of tokens of its answer. */
const lengthMark = /\[answer-tokens: (\d{1,6})\]/;

const onsets = ["b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "w", "z", "h"];
const vowels = ["a", "e", "i", "o"];

/** Number of tokens of a prompt or another text. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/**
 * The answer that every stand-in engine gives to a prompt.
 *
 * Token n is a pure function of model, prompt and n, so that anyone can check that an answer is whole and the right one.
 */
export class AnswerPlan {
    private readonly seed: number;
    /** Tokens of the answer where the caller sets no limit. */
    readonly naturalLength: number;

    /**
     * @param model Name of the model as the caller sent it.
     * @param prompt The prompt's text; see `promptText`.
     */
    constructor(model: string, prompt: string) {
        this.seed = hashText(`${model}\n${prompt}`);
        this.naturalLength = markedLength(prompt) ?? drawLength(this.seed);
    }

    /** Text of a token, counted from 0; tokens are joined without a separator. */
    token(number: number): string {
        const bits = mix(this.seed ^ Math.imul(number + 1, 0x9e3779b1));
        return `${syllable(bits)}${syllable(bits >>> 6)}${syllable(bits >>> 12)} `;
    }

    /** Number of tokens of the answer to a caller who allows at most `maximum`. */
    length(maximum: number | undefined): number {
        return Math.min(this.naturalLength, maximum ?? this.naturalLength);
    }

    /** Text of the tokens from `start` up to, not including, `end`. */
    text(start: number, end: number): string {
        let text = "";
        for (let number = start; number < end; number++) {
            text += this.token(number);
        }
        return text;
    }
}

/** The whole text that a caller must receive. */
export function expectedAnswer(model: string, prompt: string, maximumTokens?: number): string {
    const plan = new AnswerPlan(model, prompt);
    return plan.text(0, plan.length(maximumTokens));
}

function markedLength(prompt: string): number | undefined {
    const mark = lengthMark.exec(prompt)?.[1];
    return mark === undefined ? undefined : Math.max(1, Number(mark));
}

function drawLength(seed: number): number {
    const uniform = mix(seed) / 2 ** 32;
    const length = medianLength * 2 ** ((2 * uniform - 1) * lengthSpread);
    return Math.min(longestNaturalLength, Math.round(length));
}

function syllable(bits: number): string {
    return `${onsets[bits & 15] ?? ""}${vowels[(bits >>> 4) & 3] ?? ""}`;
}

/** FNV-1a over the UTF-16 code units of a text. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return mix(hash);
}

/** The finalizer of MurmurHash3; gives an unsigned 32-bit integer. */
function mix(value: number): number {
    let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
