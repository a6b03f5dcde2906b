/**
 * Log events 8000 to 8999: entry.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of an entry's caller server, registration and shutdown. */
export const entryEvents = defineEvents({
	malformedRequest: {
		number: 8000, name: 'malformedRequest', level: 'info', meaning: 'A caller sent a malformed HTTP request or sent it too slowly; the request was rejected before routing. Check the caller.',
	},
	registrationFailed: {
		number: 8001,
		name: 'registrationFailed',
		level: 'warn',
		meaning: 'The platform did not accept this process into its list of instances; the registration is retried every second. Peers can still find the process through seeds.',
	},
	requestsCutOff: {
		number: 8002, name: 'requestsCutOff', level: 'error', meaning: 'Requests were still in progress when the grace period of a stop ended. Set graceMs in [stop] above the longest deadline.',
	},
	requestNotTaken: {
		number: 8003, name: 'requestNotTaken', level: 'info', meaning: 'A request arrived behind the last response of a connection that closes; it did not run. The caller can send it to another entry.',
	},
	callerDisconnected: {
		number: 8004,
		name: 'callerDisconnected',
		level: 'info',
		meaning: 'A caller disconnected before its response. `readMsAgo` tells how long before the request was read; a small value means that this entry was late, because the disconnect was read right behind the request.',
	},
});
