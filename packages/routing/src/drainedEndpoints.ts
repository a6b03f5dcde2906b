/**
 * Endpoints that get no new work because operators drain them or their place at once. A place
 * that is drained under a shift cap is emptied by steering instead, step by step.
 */
import type {Drain, Endpoint, Intent} from '@filbertwell/types/intent';

/**
 * Finds the availability zones that are being drained, at whatever pace.
 *
 * @param intent - The intent in force.
 * @returns Names of zones.
 */
export const drainingZones = ({drains, regions}: Intent): ReadonlySet<string> => new Set(drains.flatMap(({target, name}) => {
	if (target === 'availabilityZone') {
		return [name];
	}

	return target === 'region' ? regions.find(region => region.name === name)?.availabilityZones ?? [] : [];
}));

/**
 * Finds drained endpoints.
 *
 * @param intent - The intent in force.
 * @returns Endpoint ids.
 */
export const drainedEndpoints = (intent: Intent): ReadonlySet<string> => {
	const regionZones = new Map(intent.regions.map(({name, availabilityZones}) => [name, new Set(availabilityZones)]));

	const covers = ({target, name, pace}: Drain, endpoint: Endpoint): boolean => {
		if (target === 'endpoint') {
			return name === endpoint.id;
		}

		if (target === 'entry' || pace === 'capped') {
			return false;
		}

		return target === 'availabilityZone' ? name === endpoint.availabilityZone : regionZones.get(name)?.has(endpoint.availabilityZone) ?? false;
	};

	return new Set(intent.services
		.flatMap(({endpoints}) => endpoints)
		.filter(endpoint => intent.drains.some(drain => covers(drain, endpoint)))
		.map(({id}) => id));
};
