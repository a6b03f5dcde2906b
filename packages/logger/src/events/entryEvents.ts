/**
 * Log events 8000 to 8999: entry.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of entry. */
export const entryEvents = defineEvents({
	malformedRequest: {
		number: 8000, name: 'malformedRequest', level: 'info', meaning: 'A caller sent what is no HTTP request, or sent it too slowly; it was refused before routing. Look at that caller.',
	},
});
