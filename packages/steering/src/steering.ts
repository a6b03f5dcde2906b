/**
 * Interface of traffic steering, which distributes an entry's requests over availability zones and
 * changes that split within the shift caps.
 */
import type {RequestClass} from '@filbertwell/types/intent';
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {RegionalSplit, ShiftProgress} from '@filbertwell/types/split';
import type {ZoneChoice} from '@filbertwell/types/zoneChoice';

/** Condition of one zone of one service, as observed on the request path. */
export type ZoneCondition = {
	readonly service: string;
	readonly availabilityZone: AvailabilityZoneName;
	/** Free slots divided by all slots of the zone's usable endpoints, from 0 to 1. */
	readonly headroom: number;
	/** Whether no endpoint of the zone responds. */
	readonly failed: boolean;
	/** Median time to first byte divided by its long-term value; 1 if latency is steady. */
	readonly latencyRatio: number;
};

/** Traffic steering of one entry. */
export type Steering = {
	/** Chooses a zone for the next request so that requests follow the current split at any moment. */
	readonly chooseZone: (service: string, requestClass: RequestClass) => ZoneChoice;
	/** Current splits of all services and regions, which starting peers resume from. */
	readonly splits: () => readonly RegionalSplit[];
	/** Progress of each service's shift in this entry's region. */
	readonly progress: () => readonly ShiftProgress[];
	/** Records the latest zone conditions; called about once a second. */
	readonly observe: (conditions: readonly ZoneCondition[]) => void;
	/** Discards all splits, so that `chooseZone` returns `anywhere`. */
	readonly stop: () => void;
};
