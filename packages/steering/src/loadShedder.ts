/**
 * Decides which requests are refused while part of the traffic has no zone to serve it.
 *
 * The refused fraction of the traffic is taken from the lowest request class first. A class is
 * affected only if all requests of the lower classes are refused.
 */
import {requestClasses, type RequestClass} from '@filbertwell/types/intent';

/** Decides for each request whether to refuse it. */
export type LoadShedder = {
	/**
	 * Counts a request in the class mix and decides whether to refuse it.
	 *
	 * @param requestClass - Class of the request.
	 * @param refusedFraction - Fraction of the total traffic to refuse, from 0 to 1.
	 * @returns Whether to refuse the request.
	 */
	readonly shouldRefuse: (requestClass: RequestClass, refusedFraction: number) => boolean;
};

/** Weight of the newest request in the moving average of the class mix. */
const mixUpdateWeight = 0.01;

/**
 * Creates a load shedder. It assumes equal parts of all classes at first and updates the class mix
 * with each request.
 *
 * @returns The load shedder.
 */
export const createLoadShedder = (): LoadShedder => {
	const mix = new Map<RequestClass, number>(requestClasses.map(name => [name, 1 / requestClasses.length]));
	const credits = new Map<RequestClass, number>(requestClasses.map(name => [name, 0]));

	const updateMix = (requestClass: RequestClass) => {
		for (const name of requestClasses) {
			const indicator = name === requestClass ? 1 : 0;
			mix.set(name, ((1 - mixUpdateWeight) * mix.get(name)!) + (mixUpdateWeight * indicator));
		}
	};

	const refusedPartOf = (requestClass: RequestClass, refusedFraction: number): number => {
		let remainingFraction = refusedFraction;
		for (const name of requestClasses.toReversed()) {
			const part = mix.get(name)!;
			if (name === requestClass) {
				return part > 0 ? Math.min(1, Math.max(0, remainingFraction / part)) : 0;
			}

			remainingFraction -= part;
		}

		return 0;
	};

	return {
		shouldRefuse(requestClass, refusedFraction) {
			updateMix(requestClass);
			const credit = credits.get(requestClass)! + refusedPartOf(requestClass, refusedFraction);
			const isRefused = credit >= 1;
			credits.set(requestClass, isRefused ? credit - 1 : credit);
			return isRefused;
		},
	};
};
