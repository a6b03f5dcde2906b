/**
 * Divides the requests of a route among its services by weight, with a smooth weighted round robin: after any number of
 * requests each service is within one request of its share.
 */
import type {PlannedRoute} from '@filbertwell/types/trafficPlan';

/** Chooses the service for the next request of a route. */
export type ServiceSplit = (route: PlannedRoute) => string;

/** Credits of the services of a route, with the weights to which they belong in serialized form. */
type Credits = {
	readonly weights: string;
	readonly byService: Map<string, number>;
};

/** Maximum number of routes whose credits are stored; the oldest entries are evicted first. */
const maximumRoutes = 2000;

/**
 * Creates a split in which all services start without credit. A change of the weights of a route resets its credits.
 *
 * @returns Function that chooses the service for a request.
 */
export const createServiceSplit = (): ServiceSplit => {
	const creditsByRoute = new Map<string, Credits>();

	const creditsOf = (route: PlannedRoute): Map<string, number> => {
		const weights = JSON.stringify(route.services);
		const stored = creditsByRoute.get(route.name);
		if (stored?.weights === weights) {
			return stored.byService;
		}

		const byService = new Map<string, number>();
		creditsByRoute.set(route.name, {weights, byService});
		if (creditsByRoute.size > maximumRoutes) {
			creditsByRoute.delete(creditsByRoute.keys().next().value!);
		}

		return byService;
	};

	return route => {
		if (route.services.length === 1) {
			return route.services[0]!.service;
		}

		const credits = creditsOf(route);
		let total = 0;
		let chosen = route.services[0]!.service;
		for (const {service, weight} of route.services) {
			total += weight;
			credits.set(service, (credits.get(service) ?? 0) + weight);
			if (weight > 0 && credits.get(service)! > (credits.get(chosen) ?? 0)) {
				chosen = service;
			}
		}

		credits.set(chosen, credits.get(chosen)! - total);
		return chosen;
	};
};
