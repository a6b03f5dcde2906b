/**
 * Log events 7000 to 7999: orders.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of orders. */
export const ordersEvents = defineEvents({});
