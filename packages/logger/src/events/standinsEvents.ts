/**
 * Log events 9000 to 9999: stand-ins.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of the stand-ins for upstreams. */
export const standinsEvents = defineEvents({
	upstreamsListening: {
		number: 9500,
		name: 'upstreams-listening',
		level: 'info',
		meaning: 'The stand-ins for upstreams listen on their ports and on the control port.',
	},
});
