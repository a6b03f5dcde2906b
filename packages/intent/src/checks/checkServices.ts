/**
 * Checks services, endpoints and routes.
 */
import type {Intent, Route, Service} from '@filbertwell/types/intent';
import type {IntentProblem} from '../intentProblem.js';
import {
	findDuplicates, findUnknown, listValuesAt, problemAt,
} from './crossFieldChecks.js';

/** Paths that entries serve themselves and do not route to a service. */
const reservedPaths = new Set(['/lookup']);

const covers = (earlier: Route, later: Route): boolean => {
	const coversMethods = earlier.methods.length === 0
		|| (later.methods.length > 0 && later.methods.every(method => earlier.methods.includes(method)));
	return coversMethods && later.pathPrefix.startsWith(earlier.pathPrefix);
};

const checkRoutes = (service: Service, path: string): IntentProblem[] => service.routes.flatMap((route, index) => {
	const problems: IntentProblem[] = [];
	const coveredBy = service.routes.slice(0, index).find(earlier => covers(earlier, route));
	if (coveredBy !== undefined) {
		problems.push(problemAt(
			`${path}[${index}]`,
			route.name,
			`overlaps with route "${coveredBy.name}" before it, which takes all of its requests`,
			'move it before that route or narrow that route',
		));
	}

	if (route.kind === 'atMostOnce' && route.hedge) {
		problems.push(problemAt(`${path}[${index}].hedge`, route.hedge, 'a hedge would run an at-most-once request twice', 'set it to false or make the route idempotent'));
	}

	return problems;
});

const checkEndpoints = ({services, regions}: Intent): IntentProblem[] => {
	const zoneNames = regions.flatMap(region => region.availabilityZones);
	const listEndpointValues = (key: string, select: (endpoint: Service['endpoints'][number]) => string) => services
		.flatMap((service, index) => listValuesAt(`services[${index}].endpoints`, service.endpoints, key, endpoint => select(endpoint)));
	return [
		...findDuplicates(listEndpointValues('.id', endpoint => endpoint.id), 'endpoint id'),
		...findDuplicates(listEndpointValues('', endpoint => `${endpoint.host} port ${endpoint.port}`), 'endpoint address'),
		...findUnknown(listEndpointValues('.availabilityZone', endpoint => endpoint.availabilityZone), zoneNames, 'availability zone'),
	];
};

/**
 * Finds duplicate names, hosts and addresses, reserved path prefixes, unknown availability zones,
 * routes that never match and at-most-once routes with hedging.
 *
 * @param intent - An intent that matches the schema.
 * @returns The problems; empty if there are none.
 */
export const checkServices = (intent: Intent): IntentProblem[] => [
	...findDuplicates(listValuesAt('services', intent.services, '.name', service => service.name), 'service'),
	...findDuplicates(listValuesAt('services', intent.services, '.pathPrefix', service => service.pathPrefix), 'path prefix'),
	...listValuesAt('services', intent.services, '.pathPrefix', service => service.pathPrefix)
		.filter(({value}) => reservedPaths.has(value))
		.map(({path, value}) => problemAt(path, value, 'entries answer this path themselves', 'use another path')),
	...findDuplicates(intent.services.flatMap((service, index) => listValuesAt(`services[${index}].hosts`, service.hosts, '', host => host)), 'host'),
	...intent.services.flatMap((service, index) => [
		...findDuplicates(listValuesAt(`services[${index}].routes`, service.routes, '.name', route => route.name), 'route'),
		...checkRoutes(service, `services[${index}].routes`),
	]),
	...checkEndpoints(intent),
];
