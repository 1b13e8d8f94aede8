/**
 * Reads the titles of the tests that KNOWN-RED.txt lists; an entry begins with "- test:", and indented lines continue
 * its title up to the line "command:".
 */
export function parseKnownFailures(text) {
    const titles = [...text.matchAll(/^- test:(.*(?:\n {2}(?!command:).*)*)/gm)];
    return titles.map(([, title]) => title.trim().replace(/\s+/g, " "));
}

/** Whether a title is listed; AVA leaves the name of the file out of the title if it runs a single file. */
export function isKnownFailure(title, knownFailures) {
    return knownFailures.some(known => known === title || known.endsWith(` › ${title}`));
}

/**
 * Whether a run of AVA succeeded apart from known failures.
 *
 * AVA exits with 1 for known failures too, and also after a timeout, when it may print no summary.
 */
export function isSuccess({ code, hasSummary, passed, failed, knownFailures }) {
    return code === (knownFailures > 0 ? 1 : 0) && hasSummary && failed === 0 && passed > 0;
}
