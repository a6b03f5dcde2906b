/**
 * Log events 4000 to 4999: membership.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about peers, heartbeats and the platform's list of instances. */
export const membershipEvents = defineEvents({
	memberJoined: {
		number: 4000, name: 'memberJoined', level: 'info', meaning: 'A peer was discovered. No action.',
	},
	memberChanged: {
		number: 4001, name: 'memberChanged', level: 'info', meaning: 'The state of a peer changed, or the peer was restarted under the same id. No action.',
	},
	memberSuspected: {
		number: 4002, name: 'memberSuspected', level: 'warn', meaning: 'A peer does not respond to heartbeats; it is excluded from look-ups until it does. Check the instance if this persists.',
	},
	memberRecovered: {
		number: 4003, name: 'memberRecovered', level: 'info', meaning: 'A suspect peer responds again. No action.',
	},
	memberRemoved: {
		number: 4004, name: 'memberRemoved', level: 'info', meaning: 'A peer that sends no heartbeats is not in the platform\'s list and was removed from the members. No action.',
	},
	incarnationRaised: {
		number: 4005,
		name: 'incarnationRaised',
		level: 'info',
		meaning: 'A peer announced a higher incarnation of this id than the instance\'s clock yields; the process continues with the next higher one. Check the instance\'s clock.',
	},
	superseded: {
		number: 4006,
		name: 'superseded',
		level: 'error',
		meaning: 'Another process was started with the same id, so this one stops its heartbeats. Stop this process or correct the id in its settings.',
	},
	listUnavailable: {
		number: 4007,
		name: 'listUnavailable',
		level: 'warn',
		meaning: 'The platform\'s list of instances can\'t be read; members are discovered from heartbeats alone. Check the platform if this persists.',
	},
	datagramRejected: {
		number: 4008, name: 'datagramRejected', level: 'warn', meaning: 'A received datagram is not a valid heartbeat. Check for other senders to the peer port and for mixed versions.',
	},
	datagramNotSent: {
		number: 4009, name: 'datagramNotSent', level: 'debug', meaning: 'A heartbeat could not be sent. Check the instance\'s network if this persists.',
	},
	membersNotFetched: {
		number: 4010, name: 'membersNotFetched', level: 'debug', meaning: 'A peer did not respond to a request for its members; another peer is queried later. No action.',
	},
	isolated: {
		number: 4011, name: 'isolated', level: 'warn', meaning: 'No peer responds. Check the instance\'s network and its seeds.',
	},
});
