/** Stack of an error for the log; its text if it has none. */
export const stackOf = (err: unknown): string => err instanceof Error ? (err.stack ?? err.message) : String(err);
