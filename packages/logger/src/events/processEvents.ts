/**
 * Log events 1000 to 1999: life of a process.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of a process's life. */
export const processEvents = defineEvents({
	started: {
		number: 1000, name: 'processStarted', level: 'info', meaning: 'The process listens on its addresses. No action.',
	},
	stopping: {
		number: 1001, name: 'processStopping', level: 'info', meaning: 'A stop was asked for; the process leaves look-ups and finishes requests in progress.',
	},
	stopped: {
		number: 1002, name: 'processStopped', level: 'info', meaning: 'All requests have ended and listeners are closed.',
	},
	invariantBroken: {
		number: 1003, name: 'invariantBroken', level: 'error', meaning: 'An internal invariant does not hold; the process exits with code 70. Report it with the log.',
	},
});
