/**
 * Log events 9000 to 9999: standins.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of standins. */
export const standinsEvents = defineEvents({
	upstreamsListening: {
		number: 9500,
		name: 'upstreams-listening',
		level: 'info',
		meaning: 'The upstream stand-ins listen on their ports and on the control port.',
	},
});
