/**
 * Log events 4000 to 4999: membership.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of membership. */
export const membershipEvents = defineEvents({});
