/**
 * Log events 5000 to 5999: steering.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events of steering. */
export const steeringEvents = defineEvents({
	shiftHoldChanged: {
		number: 5000, name: 'shiftHoldChanged', level: 'info',
		meaning: 'What keeps a shift of a service from moving on has changed. `none`: it is complete. `cap`: it moves as fast as the cap allows. '
			+ '`headroom` or `latency`: the destination is short of it; look at its endpoints.',
	},
	zoneFailureChanged: {
		number: 5001, name: 'zoneFailureChanged', level: 'warn',
		meaning: 'An availability zone has stopped or resumed answering for a service, as this entry sees it. Traffic leaves a failed zone under the failover cap.',
	},
	startedFromPeers: {
		number: 5002, name: 'splitsFromPeers', level: 'info', meaning: 'The entry took its splits from a peer, at its start or after a long pause. No action.',
	},
});
