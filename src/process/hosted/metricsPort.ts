/** Port on which hosted processes show their metrics; the deploy file names the same one. */
export const metricsPort = 9464;
