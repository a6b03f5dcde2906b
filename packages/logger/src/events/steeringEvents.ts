/**
 * Log events 5000 to 5999: steering.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of steering. */
export const steeringEvents = defineEvents({});
