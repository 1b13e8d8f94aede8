/** Exit code of a program that succeeded. */
export const exitSuccess = 0;

/** Exit code of a program whose request was rejected or that failed at run time. */
export const exitFailure = 1;

/** Exit code of a program whose command line or settings are invalid. */
export const exitUsage = 2;
