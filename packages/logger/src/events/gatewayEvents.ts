/**
 * Log events 11000 to 11999: gateway.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of the gateway. */
export const gatewayEvents = defineEvents({
	requestRefused: {
		number: 11_000, name: 'requestRefused', level: 'info', meaning: 'A request was refused as not run; the reason and the expected wait say why.',
	},
	requestFailed: {
		number: 11_001, name: 'requestFailed', level: 'info', meaning: 'A request ended without an endpoint\'s answer after it had been sent.',
	},
	requestNotRead: {
		number: 11_002, name: 'requestNotRead', level: 'info', meaning: 'A request arrived on a connection that was already being closed; it was not read, and its caller sends it elsewhere.',
	},
	sendEnded: {
		number: 11_003, name: 'sendEnded', level: 'info', meaning: 'One send of a request to an endpoint ended; the outcome says whether it may have run, the expected times and the load what the choice went by.',
	},
	settingsReloaded: {
		number: 11_004, name: 'settingsReloaded', level: 'info', meaning: 'The settings file was read again.',
	},
	settingsRejected: {
		number: 11_005, name: 'settingsRejected', level: 'error', meaning: 'The changed settings file has errors; the settings from before stay in force.',
	},
});
