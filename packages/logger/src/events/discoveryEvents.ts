/**
 * Log events 10000 to 10999: discovery.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of discovery. */
export const discoveryEvents = defineEvents({
	tableLost: {
		number: 10_000, name: 'tableLost', level: 'warn', meaning: 'A followed table can\'t be read; the last copy stays in use and peers are asked. Check the store and the way to it.',
	},
	tableRegained: {
		number: 10_001, name: 'tableRegained', level: 'info', meaning: 'A followed table is read again, or for the first time.',
	},
	historyLost: {
		number: 10_002, name: 'historyLost', level: 'info', meaning: 'The store no longer keeps the changes since the copy\'s version; all rows are read.',
	},
	readFromPeer: {
		number: 10_003, name: 'readFromPeer', level: 'info', meaning: 'The copy of a table was brought up to date from a peer, since the store did not answer.',
	},
	registrationRejected: {
		number: 10_004, name: 'registrationRejected', level: 'warn', meaning: 'A registration can\'t be read or is older than the known one; it names no endpoint to use.',
	},
	endpointChanged: {
		number: 10_005, name: 'endpointChanged', level: 'info', meaning: 'An endpoint is new, started again, or changed its state.',
	},
	endpointGone: {
		number: 10_006, name: 'endpointGone', level: 'info', meaning: 'An endpoint gets no more requests; the reason says why.',
	},
	registrationMissing: {
		number: 10_007, name: 'registrationMissing', level: 'info', meaning: 'A registration is missing after an outage of the store; its endpoint stays in use for a short time in case that it registers again.',
	},
	planInForce: {
		number: 10_008, name: 'planInForce', level: 'info', meaning: 'A version of the traffic plan is in force from now on.',
	},
	planIgnored: {
		number: 10_009, name: 'planIgnored', level: 'info', meaning: 'A version of the traffic plan is not newer than the one in force.',
	},
	operatorRowRejected: {
		number: 10_010, name: 'operatorRowRejected', level: 'error', meaning: 'A row of the operators can\'t be read; what was in force stays so. Write the row anew.',
	},
	evacuationChanged: {
		number: 10_011, name: 'evacuationChanged', level: 'info', meaning: 'An availability zone is to get no requests, or may get them again.',
	},
});
