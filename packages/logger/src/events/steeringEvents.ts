/**
 * Log events 5000 to 5999: steering.
 */
import {defineEvents} from '../eventDefinition.js';

/** Events about shifts, failed availability zones and splits. */
export const steeringEvents = defineEvents({
	shiftHoldChanged: {
		number: 5000, name: 'shiftHoldChanged', level: 'info',
		meaning: 'The state of a service\'s shift has changed. `none`: it is complete. `cap`: it progresses as fast as the cap allows. '
			+ '`headroom` or `latency`: it is held because the destination lacks spare capacity or responds too slowly; check the destination\'s endpoints.',
	},
	zoneFailureChanged: {
		number: 5001, name: 'zoneFailureChanged', level: 'warn',
		meaning: 'From this entry\'s point of view, an availability zone has failed or recovered for a service. Traffic moves away from a failed zone under the failover cap.',
	},
	startedFromPeers: {
		number: 5002, name: 'splitsFromPeers', level: 'info', meaning: 'The entry adopted its splits from a peer, at its start or after a long pause. No action.',
	},
});
