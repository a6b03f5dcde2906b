/**
 * The endpoint of a region that keeps a key warm. All instances with the same view agree on it. The order of a key's
 * endpoints is kept until the endpoints change: a service has hundreds of them, a request has a few microseconds.
 */
import type {RegionName} from '@filbertwell/types/place';
import {affinityOrder} from './affinityOrder.js';
import type {TrackedEndpoint} from './trackedEndpoint.js';

/** Places of keys. */
export type KeyPlaces = {
	/** The first of a key's endpoints that a request may use; `undefined` where it may use none. */
	readonly of: (question: KeyQuestion) => TrackedEndpoint | undefined;
};

/** A key and the endpoints among which it has its place: those of a service in a region. */
export type KeyQuestion = {
	readonly key: string;
	readonly service: string;
	readonly region: RegionName;
	readonly endpoints: readonly TrackedEndpoint[];
	readonly mayServe: (endpoint: TrackedEndpoint) => boolean;
};

/** Endpoints of a key that are kept in order; more are looked for only while all of these are out. */
const keptRanks = 8;
/** Keys that are remembered; the rest of a larger set is ordered anew each time. */
const rememberedKeys = 4000;

const rank = (key: string, endpoints: readonly TrackedEndpoint[]): TrackedEndpoint[] => {
	const byId = new Map(endpoints.map(endpoint => [endpoint.registered().endpoint.id, endpoint]));
	return affinityOrder(key, [...byId].map(([id, endpoint]) => ({id, weight: endpoint.slots()}))).map(id => byId.get(id)!);
};

/**
 * Creates the places.
 *
 * @param version - Rises with each change of the endpoints.
 * @returns The places.
 */
export const createKeyPlaces = (version: () => number): KeyPlaces => {
	const ranked = new Map<string, readonly TrackedEndpoint[]>();
	let rankedVersion = version();

	const firstRanks = ({key, service, region, endpoints}: KeyQuestion): readonly TrackedEndpoint[] => {
		if (rankedVersion !== version()) {
			ranked.clear();
			rankedVersion = version();
		}

		const name = `${service}\u0000${region}\u0000${key}`;
		const known = ranked.get(name);
		if (known !== undefined) {
			return known;
		}

		const first = rank(key, endpoints).slice(0, keptRanks);
		if (ranked.size < rememberedKeys) {
			ranked.set(name, first);
		}

		return first;
	};

	return {
		of(question) {
			const {key, endpoints, mayServe} = question;
			const first = firstRanks(question).find(endpoint => mayServe(endpoint));
			return first ?? (endpoints.length > keptRanks ? rank(key, endpoints).find(endpoint => mayServe(endpoint)) : undefined);
		},
	};
};
