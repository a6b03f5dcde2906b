/**
 * Log events 6000 to 6999: routing.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of routing. */
export const routingEvents = defineEvents({
	endpointEjected: {
		number: 6000,
		name: 'endpointEjected',
		level: 'warn',
		meaning: 'This entry saw an endpoint that cannot be reached, fails or is much slower than the median, and sends it only probes. Look at it if several entries say so.',
	},
	endpointRecovered: {
		number: 6001, name: 'endpointRecovered', level: 'info', meaning: 'Probes of an ejected endpoint went well; it gets work again in a slow start. No action.',
	},
});
