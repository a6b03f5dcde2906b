/**
 * Finds the service and the route of a request in the configuration in force.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {Route, Service} from '@filbertwell/types/intent';

/** The service of a request and the path that is left for the upstream. */
export type ServiceMatch = {
	readonly service: Service;
	/** Path with query, without the service's prefix. */
	readonly path: string;
};

/** Finds services. */
export type ServiceIndex = {
	readonly match: (path: string, host: string | undefined) => ServiceMatch | undefined;
	readonly names: readonly string[];
};

const startsWithSegment = (path: string, prefix: string): boolean => {
	if (!path.startsWith(prefix)) {
		return false;
	}

	const next = path[prefix.length];
	return prefix.endsWith('/') || next === undefined || next === '/' || next === '?';
};

const withoutPrefix = (path: string, prefix: string): string => {
	const rest = path.slice(prefix.endsWith('/') ? prefix.length - 1 : prefix.length);
	return rest.startsWith('/') ? rest : `/${rest}`;
};

const withoutPort = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

/**
 * Builds the index of a configuration.
 *
 * @param configuration - The configuration in force.
 * @returns The index: the longest path prefix first, else the host.
 */
export const createServiceIndex = ({intent}: Configuration): ServiceIndex => {
	const byPrefix = intent.services
		.filter(({pathPrefix}) => pathPrefix.length > 0)
		.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	const byHost = new Map(intent.services.flatMap(service => service.hosts.map(host => [host.toLowerCase(), service] as const)));
	return {
		match(path, host) {
			const prefixed = byPrefix.find(service => startsWithSegment(path, service.pathPrefix));
			if (prefixed !== undefined) {
				return {service: prefixed, path: withoutPrefix(path, prefixed.pathPrefix)};
			}

			const hosted = host === undefined ? undefined : byHost.get(host.toLowerCase()) ?? byHost.get(withoutPort(host));
			return hosted === undefined ? undefined : {service: hosted, path};
		},
		names: intent.services.map(({name}) => name),
	};
};

/**
 * Finds the first route of a service that matches.
 *
 * @param service - The service.
 * @param method - HTTP method in upper case.
 * @param path - Path below the service's prefix.
 * @returns The route, if one matches.
 */
export const findRoute = (service: Service, method: string, path: string): Route | undefined => service.routes
	.find(route => (route.methods.length === 0 || route.methods.includes(method)) && path.startsWith(route.pathPrefix));
