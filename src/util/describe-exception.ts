/** Describes an unexpected exception for a log line, by its stack if it has one. */
export const describeException = (err: unknown): string => err instanceof Error ? (err.stack ?? err.message) : String(err);
