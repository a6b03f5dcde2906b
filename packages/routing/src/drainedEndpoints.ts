/**
 * Finds the endpoints that get no new requests because operators drain them, their availability
 * zone or their region immediately. A zone or region that is drained under the shift caps is
 * emptied gradually by steering instead.
 */
import type {Drain, Endpoint, Intent} from '@filbertwell/types/intent';

/**
 * Finds the availability zones that are being drained, themselves or with their region, at any pace.
 *
 * @param intent - The intent in force.
 * @returns Names of the zones.
 */
export const drainingZones = ({drains, regions}: Intent): ReadonlySet<string> => new Set(drains.flatMap(({target, name}) => {
	if (target === 'availabilityZone') {
		return [name];
	}

	return target === 'region' ? regions.find(region => region.name === name)?.availabilityZones ?? [] : [];
}));

/**
 * Finds the endpoints that are drained immediately.
 *
 * @param intent - The intent in force.
 * @returns Ids of the endpoints.
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
