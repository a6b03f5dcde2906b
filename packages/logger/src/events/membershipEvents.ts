/**
 * Log events 4000 to 4999: membership.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of membership. */
export const membershipEvents = defineEvents({
	memberJoined: {
		number: 4000, name: 'memberJoined', level: 'info', meaning: 'A peer was heard of for the first time. No action.',
	},
	memberChanged: {
		number: 4001, name: 'memberChanged', level: 'info', meaning: 'The state of a peer changed, or it was restarted under its id. No action.',
	},
	memberSuspected: {
		number: 4002, name: 'memberSuspected', level: 'warn', meaning: 'A peer does not answer; it is left out of look-ups until it does. Check the instance if it lasts.',
	},
	memberRecovered: {
		number: 4003, name: 'memberRecovered', level: 'info', meaning: 'A suspected peer answers again. No action.',
	},
	memberRemoved: {
		number: 4004, name: 'memberRemoved', level: 'info', meaning: 'A silent peer is missing from the platform\'s list and is forgotten. No action.',
	},
	incarnationRaised: {
		number: 4005, name: 'incarnationRaised', level: 'info', meaning: 'Peers know a later start under this id than the clock shows; the process counts on from it. Check the instance\'s clock.',
	},
	superseded: {
		number: 4006, name: 'superseded', level: 'error', meaning: 'Another process was started under this id; this one stops its heartbeats. Stop it, or correct the id in its settings.',
	},
	listUnavailable: {
		number: 4007, name: 'listUnavailable', level: 'warn', meaning: 'The platform\'s instance list can\'t be read; members are known from heartbeats alone. Check the platform if it lasts.',
	},
	datagramRejected: {
		number: 4008, name: 'datagramRejected', level: 'warn', meaning: 'A datagram is not a valid heartbeat. Check what else sends to the peer port, or for mixed versions.',
	},
	datagramNotSent: {
		number: 4009, name: 'datagramNotSent', level: 'debug', meaning: 'A heartbeat could not be sent. Check the network of the instance if it lasts.',
	},
	membersNotFetched: {
		number: 4010, name: 'membersNotFetched', level: 'debug', meaning: 'A peer did not answer a request for its members; another is asked later. No action.',
	},
	isolated: {
		number: 4011, name: 'isolated', level: 'warn', meaning: 'No peer answers. Check the network of the instance, and its seeds.',
	},
});
