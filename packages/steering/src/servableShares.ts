/**
 * Selects the part of a split that can be served while zones have failed.
 *
 * Requests for a failed zone are still accepted while another zone of its region serves: routing
 * sends them there as far as slots are free, which affects neither links between regions nor the
 * caches of other regions. Only the share of a region whose zones have all failed waits for the
 * capped failover.
 */
import type {AvailabilityZoneName, Region} from '@filbertwell/types/place';
import type {ZoneShare} from '@filbertwell/types/split';
import type {SplitState} from './serviceSplits.js';

/**
 * Selects the shares that can be served.
 *
 * @param split - Current split and target; only zones with a share in the target can substitute for a failed zone.
 * @param failedZones - Zones in which no endpoint responds.
 * @param regions - Regions with their zones.
 * @returns The shares by which requests are distributed; failed zones without a substitute are left out.
 */
export const servableShares = ({shares, target}: SplitState, failedZones: ReadonlySet<AvailabilityZoneName>, regions: readonly Region[]): readonly ZoneShare[] => {
	if (failedZones.size === 0) {
		return shares;
	}

	const substitutes = new Set(target.filter(({availabilityZone}) => !failedZones.has(availabilityZone)).map(({availabilityZone}) => availabilityZone));
	const hasSubstitute = (zone: AvailabilityZoneName): boolean => regions
		.some(({availabilityZones}) => availabilityZones.includes(zone) && availabilityZones.some(other => substitutes.has(other)));
	return shares.filter(({availabilityZone}) => !failedZones.has(availabilityZone) || hasSubstitute(availabilityZone));
};
