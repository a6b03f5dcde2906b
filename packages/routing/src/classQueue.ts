/**
 * Bounded queue of the waiting requests of one service, by request class. A request is bound to an
 * endpoint only when one has a free slot, so that none waits behind a slow endpoint while another
 * is free. Within a class there is a lane for each set of requirements (region chosen by steering,
 * long or short); a lane whose first request finds no slot does not block the others. Within a
 * lane, tenants share by weight. When the queue is full, a new request displaces one of a lower
 * class. If there is none and its own tenant has no waiting request in its lane, it displaces one
 * of the tenant that has the most waiting requests in that lane relative to its weight.
 */
import {type RequestClass, requestClasses} from '@filbertwell/types/intent';
import {type FairQueue, type QueueItem, createFairQueue} from './fairQueue.js';

/** A request that waits for a slot. */
export type QueuedRequest = QueueItem & {
	readonly requestClass: RequestClass;
	/** Key of its lane: requests of one lane can use the same endpoints. */
	readonly lane: string;
	/** Tries to bind the request to an endpoint and to start it; returns whether it started. */
	readonly tryStart: () => boolean;
	/** Called when a request of a higher class, or of a tenant with none in the lane, displaces this one. */
	readonly onDisplaced: () => void;
};

/** Bounded queue of a service, by request class. */
export type ClassQueue = {
	/** Adds a request, displacing another if necessary; returns false when the queue is full and none can be displaced. */
	readonly push: (request: QueuedRequest) => boolean;
	/** Removes a request; does nothing when it is not queued. */
	readonly remove: (request: QueuedRequest) => void;
	/** Starts as many requests as there are free slots for, highest class first. */
	readonly startReady: () => void;
	/** Sum of the expected slot times of the requests that would start before such a request, in milliseconds. */
	readonly workAheadMs: (request: Pick<QueuedRequest, 'requestClass' | 'lane' | 'tenant'>) => number;
	/** Number of waiting requests of all classes. */
	readonly size: () => number;
	readonly sizeOfClass: (requestClass: RequestClass) => number;
};

/** Default maximum number of requests of one service that wait at one entry. */
export const defaultMaximumQueued = 512;

const sum = (numbers: number[]) => numbers.reduce((total, number) => total + number, 0);

/**
 * Creates an empty queue.
 *
 * @param weightOf - Returns the weight of a tenant, above 0.
 * @param maximumQueued - Maximum number of waiting requests.
 * @returns The queue.
 */
export const createClassQueue = (weightOf: (tenant: string) => number, maximumQueued = defaultMaximumQueued): ClassQueue => {
	const lanesByClass = new Map(requestClasses.map(requestClass => [requestClass, new Map<string, FairQueue<QueuedRequest>>()]));
	const lanesOf = (requestClass: RequestClass) => lanesByClass.get(requestClass)!;
	const sizeOfClass = (requestClass: RequestClass) => sum([...lanesOf(requestClass).values()].map(lane => lane.size()));
	let size = 0;

	const laneOf = ({requestClass, lane}: Pick<QueuedRequest, 'requestClass' | 'lane'>) => {
		const lanes = lanesOf(requestClass);
		let queue = lanes.get(lane);
		if (queue === undefined) {
			queue = createFairQueue<QueuedRequest>(weightOf);
			lanes.set(lane, queue);
		}

		return queue;
	};

	const largestLane = (requestClass: RequestClass) => [...lanesOf(requestClass).values()]
		.toSorted((a, b) => b.size() - a.size())[0];

	const displaceLowerClass = (requestClass: RequestClass): boolean => {
		const lower = requestClasses.slice(requestClasses.indexOf(requestClass) + 1).toReversed();
		const lowest = lower.find(candidate => sizeOfClass(candidate) > 0);
		return lowest !== undefined && displaceNewest(largestLane(lowest)!);
	};

	const displaceNewest = (lane: FairQueue<QueuedRequest>): boolean => {
		const displaced = lane.dropNewest();
		if (displaced === undefined) {
			return false;
		}

		size -= 1;
		displaced.onDisplaced();
		return true;
	};

	const displaceHeavierTenant = (request: QueuedRequest): boolean => {
		const lane = laneOf(request);
		const isLighter = lane.size() > 0 && lane.sizeOfTenant(request.tenant) === 0;
		return isLighter && displaceNewest(lane);
	};

	const startLane = (lane: FairQueue<QueuedRequest>) => {
		for (let request = lane.peek(); request !== undefined; request = lane.peek()) {
			if (!request.tryStart()) {
				return;
			}

			lane.take();
			size -= 1;
		}
	};

	return {
		push(request) {
			if (size >= maximumQueued && !displaceLowerClass(request.requestClass) && !displaceHeavierTenant(request)) {
				return false;
			}

			laneOf(request).push(request);
			size += 1;
			return true;
		},
		remove(request) {
			if (laneOf(request).remove(request)) {
				size -= 1;
			}
		},
		startReady() {
			for (const requestClass of requestClasses) {
				for (const [name, lane] of lanesOf(requestClass)) {
					startLane(lane);
					if (lane.size() === 0) {
						lanesOf(requestClass).delete(name);
					}
				}
			}
		},
		workAheadMs(request) {
			const higher = requestClasses.slice(0, requestClasses.indexOf(request.requestClass));
			const higherMs = sum(higher.map(requestClass => lanesOf(requestClass).get(request.lane)?.costMs() ?? 0));
			const ownLane = lanesOf(request.requestClass).get(request.lane);
			return higherMs + (ownLane?.costAheadMs(request.tenant) ?? 0);
		},
		size: () => size,
		sizeOfClass,
	};
};
