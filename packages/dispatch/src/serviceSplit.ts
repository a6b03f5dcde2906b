/**
 * Divides the requests of a route among its services by weight, evenly in time: after any run of
 * requests each service is within one request of its share.
 */
import type {PlannedRoute} from '@filbertwell/types/trafficPlan';

/** Chooses the service of each request. */
export type ServiceSplit = (route: PlannedRoute) => string;

type Credits = {
	readonly weights: string;
	readonly byService: Map<string, number>;
};

/** Most routes whose credits are kept; the oldest go first. */
const maximumRoutes = 2000;

/**
 * Creates a split whose routes all start with no credit.
 *
 * @returns The split.
 */
export const createServiceSplit = (): ServiceSplit => {
	const creditsByRoute = new Map<string, Credits>();

	const creditsOf = (route: PlannedRoute): Map<string, number> => {
		const weights = JSON.stringify(route.services);
		const known = creditsByRoute.get(route.name);
		if (known?.weights === weights) {
			return known.byService;
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
