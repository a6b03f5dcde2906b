/**
 * Log events 3000 to 3999: platform.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of platform. */
export const platformEvents = defineEvents({
	circuitOpened: {
		number: 3000,
		name: 'platformCircuitOpened',
		level: 'warn',
		meaning: 'Calls to one of the platform\'s services failed repeatedly; '
			+ 'further calls fail at once and single probes test the service. Look at the platform; idempotent routes go on.',
	},
	circuitChanged: {
		number: 3001,
		name: 'platformCircuitChanged',
		level: 'info',
		meaning: 'A circuit breaker of the platform\'s services probes (`halfOpen`) or works again (`closed`). No action.',
	},
	leaseTaken: {
		number: 3002,
		name: 'leaseTaken',
		level: 'info',
		meaning: 'This process now holds a lease. No action.',
	},
	leaseLost: {
		number: 3003,
		name: 'leaseLost',
		level: 'warn',
		meaning: 'Another process took a lease over, because this one was paused or cut off from the platform for longer than the term. '
			+ 'Look for pauses if it repeats.',
	},
});
