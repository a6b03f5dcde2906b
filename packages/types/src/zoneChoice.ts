/**
 * Where steering sends a request.
 */
import type {AvailabilityZoneName} from './place.js';

/**
 * `zone`: to this zone, or another of its region. `anywhere`: steering has no split yet and
 * locality decides. `refused`: no zone may take it under the caps; it is refused as not run.
 */
export type ZoneChoice =
	| {readonly kind: 'zone'; readonly availabilityZone: AvailabilityZoneName}
	| {readonly kind: 'anywhere'}
	| {readonly kind: 'refused'};
