/**
 * Log events 1000 to 1999: process lifecycle.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about the start, stop and failure of a process. */
export const processEvents = defineEvents({
	started: {
		number: 1000, name: 'processStarted', level: 'info', meaning: 'The process has started and listens on its addresses. No action.',
	},
	stopping: {
		number: 1001, name: 'processStopping', level: 'info', meaning: 'A stop was requested; the process is removed from look-ups and finishes requests in progress.',
	},
	stopped: {
		number: 1002, name: 'processStopped', level: 'info', meaning: 'The process has stopped serving and has closed its listeners.',
	},
	unexpectedError: {
		number: 1004, name: 'unexpectedError', level: 'error', meaning: 'An unexpected error ended one request; its connection was closed, all other requests go on. Report it with the log.',
	},
	invariantBroken: {
		number: 1003, name: 'invariantBroken', level: 'error', meaning: 'An internal invariant was violated; the process exits with code 70. Report it with the log.',
	},
});
