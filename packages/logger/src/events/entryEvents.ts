/**
 * Log events 8000 to 8999: entry.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of entry. */
export const entryEvents = defineEvents({
	malformedRequest: {
		number: 8000, name: 'malformedRequest', level: 'info', meaning: 'A caller sent what is no HTTP request, or sent it too slowly; it was refused before routing. Look at that caller.',
	},
	registrationFailed: {
		number: 8001, name: 'registrationFailed', level: 'warn', meaning: 'The platform did not take this process into its list of instances; it is tried again each second. Peers still find it by seeds.',
	},
	requestsCutOff: {
		number: 8002, name: 'requestsCutOff', level: 'error', meaning: 'Requests were still in progress when the grace time of a stop was over. Raise graceMs in [stop] above the longest deadline.',
	},
});
