/**
 * Where this entry's requests go: the split between availability zones, moved under the shift caps.
 */
import type {RequestClass} from '@filbertwell/types/intent';
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {RegionalSplit, ShiftProgress} from '@filbertwell/types/split';
import type {ZoneChoice} from '@filbertwell/types/zoneChoice';

/** What the request path tells steering about one zone of one service. */
export type ZoneCondition = {
	readonly service: string;
	readonly availabilityZone: AvailabilityZoneName;
	/** Free slots over all slots of the zone's usable endpoints, from 0 to 1. */
	readonly headroom: number;
	/** Whether no endpoint of the zone answers. */
	readonly failed: boolean;
	/** Median time to first byte over its long-run value; 1 when steady. */
	readonly latencyRatio: number;
};

/** The split of this entry's traffic. */
export type Steering = {
	/** Chooses a zone for the next request, spreading requests evenly by the current split. */
	readonly chooseZone: (service: string, requestClass: RequestClass) => ZoneChoice;
	/** Current splits of all services and regions, for starting peers. */
	readonly splits: () => readonly RegionalSplit[];
	readonly progress: () => readonly ShiftProgress[];
	/** Latest conditions, given about once a second. */
	readonly observe: (conditions: readonly ZoneCondition[]) => void;
	readonly stop: () => void;
};
