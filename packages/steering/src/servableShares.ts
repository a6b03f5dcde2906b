/**
 * The part of a split that can be served while zones have failed.
 *
 * Requests for a failed zone are still placed while another zone of its region serves: routing
 * takes them there as far as slots are free, since links between regions and far caches are not
 * touched. Only a region without any zone left waits for the capped failover.
 */
import type {AvailabilityZoneName, Region} from '@filbertwell/types/place';
import type {ZoneShare} from '@filbertwell/types/split';
import type {MovingSplit} from './serviceSplits.js';

/**
 * Finds the shares that can be served.
 *
 * @param split - Current split and target; only zones with a share in the target may stand in.
 * @param failedZones - Zones that do not answer.
 * @param regions - Regions with their zones.
 * @returns The shares that requests may follow.
 */
export const servableShares = ({shares, target}: MovingSplit, failedZones: ReadonlySet<AvailabilityZoneName>, regions: readonly Region[]): readonly ZoneShare[] => {
	if (failedZones.size === 0) {
		return shares;
	}

	const standIns = new Set(target.filter(({availabilityZone}) => !failedZones.has(availabilityZone)).map(({availabilityZone}) => availabilityZone));
	const hasStandIn = (zone: AvailabilityZoneName): boolean => regions
		.some(({availabilityZones}) => availabilityZones.includes(zone) && availabilityZones.some(other => standIns.has(other)));
	return shares.filter(({availabilityZone}) => !failedZones.has(availabilityZone) || hasStandIn(availabilityZone));
};
