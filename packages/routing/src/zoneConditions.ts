/**
 * What the request path tells steering about each availability zone.
 */
import {isLeaving} from './endpointChoice.js';
import type {EndpointTracker} from './endpointTracker.js';

/** Condition of one zone of one service. */
export type ZoneCondition = {
	readonly service: string;
	readonly availabilityZone: string;
	/** Free slots over all slots of the zone's usable endpoints, from 0 to 1. */
	readonly headroom: number;
	/** Whether no endpoint of the zone answers. */
	readonly failed: boolean;
	/** Time to first byte over its usual value; 1 when steady. */
	readonly latencyRatio: number;
};

const isUnreachable = ({health}: EndpointTracker) => health.reason() === 'unreachable' || health.reason() === 'failing';

const total = (numbers: number[]) => numbers.reduce((sum, number) => sum + number, 0);

const conditionOf = (service: string, availabilityZone: string, trackers: readonly EndpointTracker[]): ZoneCondition => {
	const usable = trackers.filter(tracker => !isLeaving(tracker) && !isUnreachable(tracker));
	const slots = total(usable.map(tracker => tracker.slots()));
	const inUse = total(usable.map(tracker => tracker.inUse()));
	return {
		service,
		availabilityZone,
		headroom: slots === 0 ? 0 : Math.max(0, 1 - (inUse / slots)),
		failed: trackers.every(tracker => isUnreachable(tracker)),
		latencyRatio: usable.length === 0 ? 1 : total(usable.map(({health}) => health.slowness())) / usable.length,
	};
};

/**
 * Finds the conditions of a service's zones.
 *
 * @param service - Name of the service.
 * @param trackers - Its endpoints.
 * @returns One condition for each zone with endpoints.
 */
export const conditionsOf = (service: string, trackers: readonly EndpointTracker[]): readonly ZoneCondition[] => {
	const zones = new Set(trackers.map(({endpoint}) => endpoint.availabilityZone));
	return [...zones].map(zone => conditionOf(service, zone, trackers.filter(({endpoint}) => endpoint.availabilityZone === zone)));
};
