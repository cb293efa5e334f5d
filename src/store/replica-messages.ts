/** Fields that the calls between daemons and relays have in common. */
import {z} from 'zod';

/** A position in the history of the store. Daemons of earlier versions send no era. */
export const positionFields = {era: z.number().default(0), revision: z.number()};
