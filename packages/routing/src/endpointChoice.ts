/**
 * Chooses an endpoint for the request at the head of its queue. Within each tier of the locality
 * order it tries, in turn: a free slot that this entry owns; a slot to borrow at an endpoint that
 * is estimated to have free ones; an owned slot that another entry has probably borrowed. Among
 * several candidates it picks two at random and takes the one with the lower load relative to its
 * slots, counting the load of a slow endpoint higher. Always taking the minimum would send all
 * entries to the same endpoint at once.
 *
 * Borrowing stops while the endpoints are nearly full: a slot that a report then shows as free is
 * only idle between two requests of its owner. Long requests stop borrowing at a much lower
 * utilization, since they hold a slot for many times longer than a report stays accurate, and short
 * requests would queue behind them.
 *
 * Endpoints that are leaving are excluded. Ejected endpoints are excluded unless more than half of
 * the endpoints that the request may use are ejected: the cause is then probably not the endpoints.
 * Endpoints whose oldest unanswered request has waited several times its usual time are excluded
 * while there are others.
 */
import type {Random} from '@filbertwell/utils/random';
import type {EndpointTracker} from './endpointTracker.js';
import type {LinkCaps} from './linkCap.js';
import type {LocalityTier} from './localityOrder.js';

/**
 * How the slots of an endpoint are divided between the entries. `shared`: every entry may use all
 * slots. `owned`: an entry uses only the slots that it owns. `borrowed`: it may also use slots of
 * other entries that appear to be free.
 */
export type SlotDivision = 'shared' | 'owned' | 'borrowed';

/** Constraints that a request puts on the choice of its endpoint. */
export type EndpointRequirements = {
	/** Endpoints by distance, nearest first. */
	readonly tiers: readonly LocalityTier[];
	/** Whether the request belongs to a route that holds slots much longer than others. */
	readonly isLong: boolean;
	/** Endpoints that have failed this request or are running it. */
	readonly excluded: readonly EndpointTracker[];
	/** Availability zone whose endpoints are not used; `undefined` to allow all zones. */
	readonly avoidedZone: string | undefined;
	/** Whether the request may serve as the overdue probe of an ejected endpoint. */
	readonly mayProbe: boolean;
};

/** Returns an endpoint with a free slot, or `undefined` when there is none. */
export type EndpointChoice = (requirements: EndpointRequirements) => EndpointTracker | undefined;

/** Dependencies of the endpoint choice. */
export type ChoiceOptions = {
	readonly random: Random;
	readonly linkCaps: LinkCaps;
	readonly slotDivision: SlotDivision;
	/** Whether the endpoints are too full for short or long requests to borrow slots. */
	readonly preventsBorrowing: (isLong: boolean) => boolean;
};

/** An endpoint counts as stalled if its oldest unanswered request has taken at least this multiple of its usual time. */
const stalledRatio = 2.5;
/** Free slots needed to borrow with a fresh report; slightly under 1 to allow for rounding. */
const requiredFreeSlots = 0.9;
/** Additional free slots needed with a report that has lost all confidence. */
const staleReportMargin = 1.1;
/** Free slots below which another entry has probably borrowed a slot that this entry owns. */
const unborrowedFreeSlots = 0.5;
/** Additional free slots needed for a long request, so that a slot stays free for short ones. */
const longRequestMargin = 1;

/** Whether an endpoint is leaving and accepts no new requests. */
export const isLeaving = (tracker: EndpointTracker): boolean => tracker.isLeaving();

const ownsFreeSlot = (tracker: EndpointTracker, isLong: boolean): boolean => {
	const {slots, longSlots} = tracker.owned();
	return tracker.inFlight() < slots && (!isLong || tracker.longInFlight() < longSlots);
};

const canBorrow = (tracker: EndpointTracker, isLong: boolean): boolean => {
	const neededFreeSlots = requiredFreeSlots + ((1 - tracker.reportConfidence()) * staleReportMargin) + (isLong ? longRequestMargin : 0);
	return tracker.inFlight() < tracker.slots() && tracker.freeSlots() >= neededFreeSlots;
};

const relativeLoad = (tracker: EndpointTracker): number =>
	(tracker.inUse() + 1) / tracker.slots() * tracker.health.latencyPenalty() / tracker.health.slowStartFactor();

/**
 * Creates the endpoint choice of a service.
 *
 * @param options - Random numbers, link caps and how slots are divided between entries.
 * @returns A function that chooses an endpoint for a request.
 */
export const createEndpointChoice = ({random, linkCaps, slotDivision, preventsBorrowing}: ChoiceOptions): EndpointChoice => {
	const pickRandom = (candidates: readonly EndpointTracker[]) => candidates[Math.floor(random() * candidates.length)];

	const lessLoadedOfTwo = (candidates: readonly EndpointTracker[]): EndpointTracker | undefined => {
		if (candidates.length < 2) {
			return candidates[0];
		}

		const first = pickRandom(candidates)!;
		const others = candidates.filter(candidate => candidate !== first);
		const second = pickRandom(others)!;
		return relativeLoad(second) < relativeLoad(first) ? second : first;
	};

	const preferUnstalled = (candidates: readonly EndpointTracker[]): readonly EndpointTracker[] => {
		const unstalled = candidates.filter(candidate => candidate.stallRatio() < stalledRatio);
		return unstalled.length > 0 ? unstalled : candidates;
	};

	const chooseIn = (candidates: readonly EndpointTracker[], isLong: boolean): EndpointTracker | undefined => {
		const owned = slotDivision === 'shared' ? [] : candidates.filter(candidate => ownsFreeSlot(candidate, isLong));
		const unborrowed = owned.filter(candidate => candidate.freeSlots() >= unborrowedFreeSlots);
		if (unborrowed.length > 0) {
			return lessLoadedOfTwo(preferUnstalled(unborrowed));
		}

		const borrowable = slotDivision === 'owned' || (slotDivision === 'borrowed' && preventsBorrowing(isLong)) ? [] : candidates.filter(candidate => canBorrow(candidate, isLong));
		return lessLoadedOfTwo(preferUnstalled(borrowable)) ?? lessLoadedOfTwo(preferUnstalled(owned));
	};

	const takeOverdueProbe = (trackers: readonly EndpointTracker[]): EndpointTracker | undefined => {
		const due = trackers.find(tracker => tracker.inFlight() === 0 && tracker.health.isProbeOverdue());
		due?.health.recordProbe();
		return due;
	};

	return requirements => {
		// Counts only endpoints that the request may use, since steering can confine it to one region.
		const available = requirements.tiers.flatMap(({trackers}) => trackers.filter(tracker => !isLeaving(tracker)));
		const ejected = available.filter(({health}) => health.state() === 'ejected').length;
		const excludesEjected = ejected <= available.length / 2;
		const isCandidate = (tracker: EndpointTracker) => !isLeaving(tracker) && !requirements.excluded.includes(tracker);

		for (const {trackers, isRemote} of requirements.tiers) {
			const reachable = trackers.filter(tracker => isCandidate(tracker) && (!isRemote || linkCaps.allowsRequests(tracker.region)));
			const outsideAvoidedZone = reachable.filter(({endpoint}) => endpoint.availabilityZone !== requirements.avoidedZone);
			const usable = outsideAvoidedZone.filter(({health}) => !excludesEjected || health.state() === 'healthy');
			const probeTarget = requirements.mayProbe && excludesEjected && ejected > 0 ? takeOverdueProbe(outsideAvoidedZone) : undefined;
			const chosen = probeTarget ?? chooseIn(usable, requirements.isLong);
			if (chosen !== undefined) {
				return chosen;
			}
		}

		return undefined;
	};
};
