/**
 * Log events 3000 to 3999: platform.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about circuit breakers and leases on the platform's services. */
export const platformEvents = defineEvents({
	circuitOpened: {
		number: 3000,
		name: 'platformCircuitOpened',
		level: 'warn',
		meaning: 'Calls to one of the platform\'s services failed repeatedly; '
			+ 'the circuit breaker rejects further calls and tests the service with single probes. Check the platform; idempotent routes keep working.',
	},
	circuitChanged: {
		number: 3001,
		name: 'platformCircuitChanged',
		level: 'info',
		meaning: 'The circuit breaker of one of the platform\'s services is probing (`halfOpen`) or allows calls again (`closed`). No action.',
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
		meaning: 'Another process took over a lease because this process was paused or disconnected from the platform for longer than the lease term. '
			+ 'Check for pauses of the process if this recurs.',
	},
});
