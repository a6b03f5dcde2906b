/**
 * Log events 6000 to 6999: routing.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of routing. */
export const routingEvents = defineEvents({});
