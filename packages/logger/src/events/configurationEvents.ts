/**
 * Log events 2000 to 2999: configuration.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of configuration. */
export const configurationEvents = defineEvents({});
