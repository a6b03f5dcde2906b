/**
 * Log events 8000 to 8999: entry.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of entry. */
export const entryEvents = defineEvents({});
