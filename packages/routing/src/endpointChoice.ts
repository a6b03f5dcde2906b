/**
 * Choice of an endpoint for a request that is next in its queue. Within each tier of the
 * locality order, first a slot that this entry owns, then one borrowed where a fresh report
 * shows room, then an owned one that another entry seems to have borrowed. Among several, two are drawn at random and the one with less work for its slots
 * wins, its work counted higher when it is slow: a plain minimum would send all entries to the
 * same endpoint at once.
 *
 * Nothing is borrowed while the endpoints are full: what a report shows as free is then a slot
 * between two requests of its owner. Long requests stop borrowing much earlier, since they keep
 * the slot for many times longer than a report is true, and short ones would wait behind them.
 *
 * Left out are endpoints that are leaving, ejected ones (unless more than half of those that
 * the request may use are: then the fault is likely not theirs, and none is left out), and, while there
 * is another, those whose oldest request has been waiting for several times its usual time.
 */
import type {Random} from '@filbertwell/utils/random';
import type {EndpointTracker} from './endpointTracker.js';
import type {LinkCaps} from './linkCap.js';
import type {Tier} from './localityOrder.js';

/** How the slots of an endpoint are divided between the entries. */
export type SlotDivision = 'shared' | 'owned' | 'borrowed';

/** What a request needs of an endpoint. */
export type Need = {
	readonly tiers: readonly Tier[];
	readonly isLong: boolean;
	/** Endpoints that have failed this request, or run it now. */
	readonly excluded: readonly EndpointTracker[];
	/** Zone to stay out of if there is another; `undefined` for any. */
	readonly otherThanZone: string | undefined;
	/** Whether this may be the probe of an ejected endpoint. */
	readonly mayProbe: boolean;
};

/** Choice of an endpoint. */
export type EndpointChoice = (need: Need) => EndpointTracker | undefined;

/** Parameters of the choice. */
export type ChoiceOptions = {
	readonly random: Random;
	readonly linkCaps: LinkCaps;
	readonly division: SlotDivision;
	/** Whether the endpoints are too full for requests to borrow. */
	readonly isTooFull: (isLong: boolean) => boolean;
};

const stalledAge = 2.5;
/** Free slots that a fresh report must show; one for rounding less than a whole. */
const freshRoom = 0.9;
/** Further free slots that the estimate must show as the report grows old. */
const staleRoom = 1.1;
/** Free slots below which another entry has likely borrowed what this one owns. */
const roomOfOwner = 0.5;
/** Further free slots for a long request, so that a short one still finds room. */
const longRoom = 1;

/** Whether an endpoint takes no new work. */
export const isLeaving = (tracker: EndpointTracker): boolean => tracker.isLeaving();

const ownsFreeSlot = (tracker: EndpointTracker, isLong: boolean): boolean => {
	const {slots, forLong} = tracker.owned();
	return tracker.inFlight() < slots && (!isLong || tracker.longInFlight() < forLong);
};

const hasRoom = (tracker: EndpointTracker, isLong: boolean): boolean => {
	const neededRoom = freshRoom + ((1 - tracker.trust()) * staleRoom) + (isLong ? longRoom : 0);
	return tracker.inFlight() < tracker.slots() && tracker.free() >= neededRoom;
};

const relativeWork = (tracker: EndpointTracker): number =>
	(tracker.inUse() + 1) / tracker.slots() * tracker.health.avoidance() / tracker.health.share();

/**
 * Creates the choice.
 *
 * @param options - Random numbers, link caps and the way of dividing slots.
 * @returns Chooses an endpoint with room; `undefined` when none has.
 */
export const createEndpointChoice = ({random, linkCaps, division, isTooFull}: ChoiceOptions): EndpointChoice => {
	const draw = (candidates: readonly EndpointTracker[]) => candidates[Math.floor(random() * candidates.length)];

	const lighterOfTwo = (candidates: readonly EndpointTracker[]): EndpointTracker | undefined => {
		if (candidates.length < 2) {
			return candidates[0];
		}

		const first = draw(candidates)!;
		const others = candidates.filter(candidate => candidate !== first);
		const second = draw(others)!;
		return relativeWork(second) < relativeWork(first) ? second : first;
	};

	const preferSteady = (candidates: readonly EndpointTracker[]): readonly EndpointTracker[] => {
		const steady = candidates.filter(candidate => candidate.stall() < stalledAge);
		return steady.length > 0 ? steady : candidates;
	};

	const chooseIn = (candidates: readonly EndpointTracker[], isLong: boolean): EndpointTracker | undefined => {
		const owned = division === 'shared' ? [] : candidates.filter(candidate => ownsFreeSlot(candidate, isLong));
		const unborrowed = owned.filter(candidate => candidate.free() >= roomOfOwner);
		if (unborrowed.length > 0) {
			return lighterOfTwo(preferSteady(unborrowed));
		}

		const roomy = division === 'owned' || (division === 'borrowed' && isTooFull(isLong)) ? [] : candidates.filter(candidate => hasRoom(candidate, isLong));
		return lighterOfTwo(preferSteady(roomy)) ?? lighterOfTwo(preferSteady(owned));
	};

	const probe = (trackers: readonly EndpointTracker[]): EndpointTracker | undefined => {
		const due = trackers.find(tracker => tracker.inFlight() === 0 && tracker.health.probeIsOverdue());
		due?.health.recordProbe();
		return due;
	};

	return need => {
		// Counted among those that the request may use: a request that steering keeps in one region finds no others.
		const all = need.tiers.flatMap(({trackers}) => trackers.filter(tracker => !isLeaving(tracker)));
		const ejected = all.filter(({health}) => health.state() === 'ejected').length;
		const excludesEjected = ejected <= all.length / 2;
		const mayTake = (tracker: EndpointTracker) => !isLeaving(tracker) && !need.excluded.includes(tracker);

		for (const {trackers, isRemote} of need.tiers) {
			const reachable = trackers.filter(tracker => mayTake(tracker) && (!isRemote || linkCaps.mayUse(tracker.region)));
			const elsewhere = reachable.filter(({endpoint}) => endpoint.availabilityZone !== need.otherThanZone);
			const usable = elsewhere.filter(({health}) => !excludesEjected || health.state() === 'healthy');
			const probed = need.mayProbe && excludesEjected && ejected > 0 ? probe(elsewhere) : undefined;
			const chosen = probed ?? chooseIn(usable, need.isLong);
			if (chosen !== undefined) {
				return chosen;
			}
		}

		return undefined;
	};
};
