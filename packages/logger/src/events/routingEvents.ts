/**
 * Log events 6000 to 6999: routing.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about the health of endpoints. */
export const routingEvents = defineEvents({
	endpointEjected: {
		number: 6000,
		name: 'endpointEjected',
		level: 'warn',
		meaning: 'An endpoint is unreachable, fails or is much slower than the median, so this entry sends only probes to it. Check the endpoint if several entries report it.',
	},
	endpointRecovered: {
		number: 6001, name: 'endpointRecovered', level: 'info', meaning: 'Probes of an ejected endpoint succeeded; it receives requests again with a slow start. No action.',
	},
});
