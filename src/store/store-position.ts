/**
 * A point in the history of the store. The era rises each time the store comes back from an older copy. It then gives out
 * revisions again, so revisions of different eras cannot be compared.
 */
export type StorePosition = {readonly era: number; readonly revision: number};

/** Whether `a` is a later point in the history than `b`. */
export const isLater = (a: StorePosition, b: StorePosition): boolean => a.era === b.era ? a.revision > b.revision : a.era > b.era;
