/**
 * Decides which requests are refused while part of the traffic has no place to go.
 *
 * The refused fraction of all traffic is taken from the lowest class first; a class is touched
 * only where the classes below it are refused whole.
 */
import {requestClasses, type RequestClass} from '@filbertwell/types/intent';

/** Decides on one request at a time. */
export type RefusalByClass = {
	/**
	 * Counts a request and decides on it.
	 *
	 * @param requestClass - Class of the request.
	 * @param refusedFraction - Fraction of all traffic to refuse, from 0 to 1.
	 * @returns Whether to refuse it.
	 */
	readonly shouldRefuse: (requestClass: RequestClass, refusedFraction: number) => boolean;
};

/** Weight of the newest request in the running class mix. */
const mixSmoothing = 0.01;

/**
 * Creates a decision that learns the mix of classes as requests arrive.
 *
 * @returns The decision.
 */
export const createRefusalByClass = (): RefusalByClass => {
	const mix = new Map<RequestClass, number>(requestClasses.map(name => [name, 1 / requestClasses.length]));
	const credits = new Map<RequestClass, number>(requestClasses.map(name => [name, 0]));

	const learn = (requestClass: RequestClass) => {
		for (const name of requestClasses) {
			const seen = name === requestClass ? 1 : 0;
			mix.set(name, ((1 - mixSmoothing) * mix.get(name)!) + (mixSmoothing * seen));
		}
	};

	const refusedPartOf = (requestClass: RequestClass, refusedFraction: number): number => {
		let rest = refusedFraction;
		for (const name of requestClasses.toReversed()) {
			const part = mix.get(name)!;
			if (name === requestClass) {
				return part > 0 ? Math.min(1, Math.max(0, rest / part)) : 0;
			}

			rest -= part;
		}

		return 0;
	};

	return {
		shouldRefuse(requestClass, refusedFraction) {
			learn(requestClass);
			const credit = credits.get(requestClass)! + refusedPartOf(requestClass, refusedFraction);
			const refuse = credit >= 1;
			credits.set(requestClass, refuse ? credit - 1 : credit);
			return refuse;
		},
	};
};
