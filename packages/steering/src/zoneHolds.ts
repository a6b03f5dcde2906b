/**
 * Which zones of a service may gain traffic, by what the request path observes.
 */
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {ShiftHold} from '@filbertwell/types/split';
import type {ZoneCondition} from './steering.js';

/** Zones that may not gain, and zones that have failed. */
export type ZoneHolds = {
	readonly held: () => ReadonlyMap<AvailabilityZoneName, ShiftHold>;
	readonly failed: () => ReadonlySet<AvailabilityZoneName>;
	/** Takes in a condition; returns whether the zone has failed or recovered by it. */
	readonly observe: (condition: ZoneCondition) => boolean;
};

/** A destination below this headroom gains nothing more. */
const holdHeadroom = 0.3;
/** A held destination gains again from this headroom on. */
const resumeHeadroom = 0.4;
/** A destination whose latency is this many times its usual value gains nothing more. */
const holdLatencyRatio = 3;
const resumeLatencyRatio = 1.5;
/** Weight of the latest of the looks, one a second: a single look sees a few slots at one moment. */
const headroomWeight = 0.3;

const holdFor = ({headroom, latencyRatio}: ZoneCondition, before: ShiftHold | undefined): ShiftHold | undefined => {
	if (headroom < (before === 'headroom' ? resumeHeadroom : holdHeadroom)) {
		return 'headroom';
	}

	return latencyRatio > (before === 'latency' ? resumeLatencyRatio : holdLatencyRatio) ? 'latency' : undefined;
};

/**
 * Creates holds for zones that are all open.
 *
 * @returns The holds.
 */
export const createZoneHolds = (): ZoneHolds => {
	const held = new Map<AvailabilityZoneName, ShiftHold>();
	const failed = new Set<AvailabilityZoneName>();
	const headrooms = new Map<AvailabilityZoneName, number>();

	const smooth = ({availabilityZone, headroom}: ZoneCondition): number => {
		const before = headrooms.get(availabilityZone) ?? headroom;
		const after = before + (headroomWeight * (headroom - before));
		headrooms.set(availabilityZone, after);
		return after;
	};

	const updateHold = (condition: ZoneCondition): void => {
		const {availabilityZone} = condition;
		const hold = holdFor({...condition, headroom: smooth(condition)}, held.get(availabilityZone));
		if (hold === undefined) {
			held.delete(availabilityZone);
		} else {
			held.set(availabilityZone, hold);
		}
	};

	return {
		held: () => held,
		failed: () => failed,
		observe(condition) {
			const {availabilityZone} = condition;
			updateHold(condition);
			if (condition.failed === failed.has(availabilityZone)) {
				return false;
			}

			if (condition.failed) {
				failed.add(availabilityZone);
			} else {
				failed.delete(availabilityZone);
			}

			return true;
		},
	};
};
