/**
 * Finds the service and the route of a request in a configuration.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {Route, Service} from '@filbertwell/types/intent';

/** The service of a request and the path to send to the upstream. */
export type ServiceMatch = {
	readonly service: Service;
	/** Path with query; without the service's prefix if the prefix selected the service. */
	readonly path: string;
};

/** Index of the services in a configuration. */
export type ServiceIndex = {
	/** Selects the service with the longest matching path prefix, or else by host; `undefined` if none matches. */
	readonly match: (path: string, host: string | undefined) => ServiceMatch | undefined;
	/** Names of all services. */
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
 * @param configuration - Configuration whose services are indexed.
 * @returns The index.
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
 * Finds the first route of a service that matches a request.
 *
 * @param service - Service with its routes.
 * @param method - HTTP method in upper case.
 * @param path - Path below the service's prefix.
 * @returns The route, or `undefined` if none matches.
 */
export const findRoute = (service: Service, method: string, path: string): Route | undefined => service.routes
	.find(route => (route.methods.length === 0 || route.methods.includes(method)) && path.startsWith(route.pathPrefix));
