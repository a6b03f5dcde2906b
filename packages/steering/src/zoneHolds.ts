/**
 * Determines which zones of a service may gain traffic, from the conditions observed on the request path.
 */
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {ShiftHold} from '@filbertwell/types/split';
import type {ZoneCondition} from './steering.js';

/** Zones that may not gain traffic, and zones that have failed. */
export type ZoneHolds = {
	readonly heldZones: () => ReadonlyMap<AvailabilityZoneName, ShiftHold>;
	readonly failedZones: () => ReadonlySet<AvailabilityZoneName>;
	/** Records the condition of a zone. Returns whether the zone changed between failed and not failed. */
	readonly observe: (condition: ZoneCondition) => boolean;
};

/** A zone gains no traffic below this headroom. */
const holdHeadroom = 0.3;
/** A zone held for headroom gains traffic again from this headroom on. */
const resumeHeadroom = 0.4;
/** A zone gains no traffic while its latency is more than this many times its long-term value. */
const holdLatencyRatio = 3;
/** A zone held for latency gains traffic again once its ratio is at most this. */
const resumeLatencyRatio = 1.5;
/** Weight of the latest sample in the moving average. It is low because a sample, taken once a second, covers only a few slots at one moment. */
const headroomWeight = 0.3;

const holdFor = ({headroom, latencyRatio}: ZoneCondition, before: ShiftHold | undefined): ShiftHold | undefined => {
	if (headroom < (before === 'headroom' ? resumeHeadroom : holdHeadroom)) {
		return 'headroom';
	}

	return latencyRatio > (before === 'latency' ? resumeLatencyRatio : holdLatencyRatio) ? 'latency' : undefined;
};

/**
 * Creates holds that initially contain no zone.
 *
 * @returns The holds; `observe` adds and removes zones.
 */
export const createZoneHolds = (): ZoneHolds => {
	const heldZones = new Map<AvailabilityZoneName, ShiftHold>();
	const failedZones = new Set<AvailabilityZoneName>();
	const headrooms = new Map<AvailabilityZoneName, number>();

	const smooth = ({availabilityZone, headroom}: ZoneCondition): number => {
		const before = headrooms.get(availabilityZone) ?? headroom;
		const after = before + (headroomWeight * (headroom - before));
		headrooms.set(availabilityZone, after);
		return after;
	};

	const updateHold = (condition: ZoneCondition): void => {
		const {availabilityZone} = condition;
		const hold = holdFor({...condition, headroom: smooth(condition)}, heldZones.get(availabilityZone));
		if (hold === undefined) {
			heldZones.delete(availabilityZone);
		} else {
			heldZones.set(availabilityZone, hold);
		}
	};

	return {
		heldZones: () => heldZones,
		failedZones: () => failedZones,
		observe(condition) {
			const {availabilityZone} = condition;
			updateHold(condition);
			if (condition.failed === failedZones.has(availabilityZone)) {
				return false;
			}

			if (condition.failed) {
				failedZones.add(availabilityZone);
			} else {
				failedZones.delete(availabilityZone);
			}

			return true;
		},
	};
};
