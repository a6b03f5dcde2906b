/**
 * Log events 11000 to 11999: gateway.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about callers' requests at a gateway and its settings file. */
export const gatewayEvents = defineEvents({
	requestRefused: {
		number: 11_000, name: 'requestRefused', level: 'info', meaning: 'A request was rejected as not run; the fields contain the reason and the expected wait.',
	},
	requestFailed: {
		number: 11_001, name: 'requestFailed', level: 'info', meaning: 'A request was sent to an endpoint but ended without a response.',
	},
	requestNotRead: {
		number: 11_002,
		name: 'requestNotRead',
		level: 'info',
		meaning: 'A request arrived on a connection that was being closed; it was not read, so the caller can safely resend it to another instance.',
	},
	sendEnded: {
		number: 11_003,
		name: 'sendEnded',
		level: 'info',
		meaning: 'An attempt to send a request to an endpoint ended. The outcome states whether the request may have run; the expected times and the load are those that the endpoint was chosen by.',
	},
	settingsReloaded: {
		number: 11_004, name: 'settingsReloaded', level: 'info', meaning: 'The settings file was reloaded.',
	},
	settingsRejected: {
		number: 11_005, name: 'settingsRejected', level: 'error', meaning: 'The changed settings file has errors; the previous settings stay in force.',
	},
	requestRejected: {
		number: 11_006,
		name: 'requestRejected',
		level: 'info',
		meaning: 'A request was answered without being forwarded: no route matched, a limit of the plan was exceeded, or the plan is missing or outdated. The fields contain the version and the age of the plan.',
	},
	responseCutOff: {
		number: 11_007, name: 'responseCutOff', level: 'warn', meaning: 'A large response broke off after its first part had been forwarded; the caller\'s connection was reset. Check the endpoint.',
	},
	callerGone: {
		number: 11_008,
		name: 'callerGone',
		level: 'info',
		meaning: 'A caller disconnected before its response. `readMsAgo` and `writtenMsAgo` tell how long before the request was read and written to an endpoint; small values mean that this instance was late, because the disconnect was read right behind the request.',
	},
});
