/**
 * Availability zone that steering chooses for a request.
 */
import type {AvailabilityZoneName} from './place.js';

/**
 * `zone`: the request goes to this zone, or to another zone of its region. `anywhere`: steering has
 * no split yet, so locality decides. `refused`: the caps allow no zone, so the request is rejected
 * as not run.
 */
export type ZoneChoice =
	| {readonly kind: 'zone'; readonly availabilityZone: AvailabilityZoneName}
	| {readonly kind: 'anywhere'}
	| {readonly kind: 'refused'};
