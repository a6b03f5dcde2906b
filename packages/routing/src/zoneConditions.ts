/**
 * Summarizes the endpoints of each availability zone for steering.
 */
import {isLeaving} from './endpointChoice.js';
import type {EndpointTracker} from './endpointTracker.js';

/** Condition of one service in one availability zone. */
export type ZoneCondition = {
	readonly service: string;
	readonly availabilityZone: string;
	/** Fraction of free slots at the zone's usable endpoints, from 0 to 1; 0 without usable endpoints. */
	readonly headroom: number;
	/** Whether all endpoints of the zone are ejected as unreachable or failing. */
	readonly failed: boolean;
	/** Mean ratio, of the usable endpoints, of the time to first byte to the median of the route; 1 is normal. */
	readonly latencyRatio: number;
};

const isUnreachable = ({health}: EndpointTracker) => health.reason() === 'unreachable' || health.reason() === 'failing';

const sum = (numbers: number[]) => numbers.reduce((total, number) => total + number, 0);

const conditionOf = (service: string, availabilityZone: string, trackers: readonly EndpointTracker[]): ZoneCondition => {
	const usable = trackers.filter(tracker => !isLeaving(tracker) && !isUnreachable(tracker));
	const slots = sum(usable.map(tracker => tracker.slots()));
	const inUse = sum(usable.map(tracker => tracker.inUse()));
	return {
		service,
		availabilityZone,
		headroom: slots === 0 ? 0 : Math.max(0, 1 - (inUse / slots)),
		failed: trackers.every(tracker => isUnreachable(tracker)),
		latencyRatio: usable.length === 0 ? 1 : sum(usable.map(({health}) => health.latencyRatio())) / usable.length,
	};
};

/**
 * Computes the conditions of a service in its availability zones.
 *
 * @param service - Name of the service.
 * @param trackers - Endpoints of the service.
 * @returns One condition for each zone that has endpoints.
 */
export const conditionsOf = (service: string, trackers: readonly EndpointTracker[]): readonly ZoneCondition[] => {
	const zones = new Set(trackers.map(({endpoint}) => endpoint.availabilityZone));
	return [...zones].map(zone => conditionOf(service, zone, trackers.filter(({endpoint}) => endpoint.availabilityZone === zone)));
};
