/** Exit code of a program that did what it was asked for. */
export const exitSuccess = 0;

/** Exit code of a program that was refused or failed while it ran. */
export const exitFailure = 1;

/** Exit code of a program whose command line or settings are not valid. */
export const exitUsage = 2;
