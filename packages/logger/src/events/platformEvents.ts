/**
 * Log events 3000 to 3999: platform.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of platform. */
export const platformEvents = defineEvents({});
