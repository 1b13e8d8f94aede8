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
