/**
 * Finds the route of a request by its host and the longest matching path prefix.
 */
import type {PlannedRoute, TrafficPlan} from '@filbertwell/types/trafficPlan';

/** Routes of one plan, indexed by host and path prefix. */
export type RouteTable = {
	readonly plan: TrafficPlan;
	/** Finds a route; `undefined` if none matches. `host` may include a port and `path` a query. */
	readonly routeOf: (host: string, path: string) => PlannedRoute | undefined;
};

const hostName = (host: string): string => host.toLowerCase().replace(/:\d+$/u, '');

/**
 * Creates the route table of a plan.
 *
 * @param plan - Plan with the routes.
 * @returns The route table.
 */
export const createRouteTable = (plan: TrafficPlan): RouteTable => {
	const byHost = new Map<string, Map<string, PlannedRoute>>();
	for (const route of plan.routes) {
		const routes = byHost.get(route.host) ?? new Map<string, PlannedRoute>();
		routes.set(route.pathPrefix, route);
		byHost.set(route.host, routes);
	}

	return {
		plan,
		routeOf(host, path) {
			const routes = byHost.get(hostName(host));
			if (routes === undefined) {
				return undefined;
			}

			let prefix = path.split('?', 1)[0]!;
			while (prefix !== '') {
				// Prefixes end with a slash, so the path is cut only after a slash.
				prefix = prefix.slice(0, prefix.lastIndexOf('/') + 1);
				const route = routes.get(prefix);
				if (route !== undefined) {
					return route;
				}

				prefix = prefix.slice(0, -1);
			}

			return undefined;
		},
	};
};
