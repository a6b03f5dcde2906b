/**
 * Log events 9000 to 9999: standins.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of standins. */
export const standinsEvents = defineEvents({});
