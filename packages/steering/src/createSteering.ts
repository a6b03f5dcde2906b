/**
 * Keeps the split of this entry's traffic and moves it towards the target under the shift caps.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {Intent, RequestClass, Service} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {
	ShiftHold, ShiftProgress, Split, ZoneShare,
} from '@filbertwell/types/split';
import type {Clock} from '@filbertwell/utils/clock';
import type {Logger} from '@filbertwell/logger/logger';
import {steeringEvents} from '@filbertwell/logger/events/steeringEvents';
import {createEvenSpread, type EvenSpread} from './evenSpread.js';
import {createRefusalByClass, type RefusalByClass} from './refusalByClass.js';
import {createRegionDemand} from './regionDemand.js';
import {shareOf, stepSplit, totalShare} from './splitMover.js';
import type {Steering, ZoneCondition} from './steering.js';
import {targetSplit} from './zoneTarget.js';

/** Parts that steering needs. */
export type SteeringOptions = {
	readonly region: RegionName;
	readonly clock: Clock;
	readonly log: Logger;
	readonly members: () => readonly Member[];
	/**
	 * Splits that peers in the same region use now, best source first; empty where no peer answered.
	 * A restarted entry goes on from there, never from the target.
	 */
	readonly peerSplits: readonly Split[];
};

/** Steering with the inputs that its process drives. */
export type DrivenSteering = Steering & {
	/** Puts a configuration in force. */
	readonly configure: (configuration: Configuration) => void;
	/** Moves the splits by the time since the last step; called about every 250 ms. */
	readonly step: () => void;
};

type ServiceSteering = {
	readonly service: Service;
	readonly spread: EvenSpread;
	readonly refusal: RefusalByClass;
	shares: readonly ZoneShare[];
	target: readonly ZoneShare[];
	remaining: number;
	heldBy: ShiftHold;
	held: Map<AvailabilityZoneName, ShiftHold>;
	failed: Set<AvailabilityZoneName>;
};

/** Longest time that one step makes up for; a process that was paused does not jump. */
const maximumStepMs = 500;
/** A destination below this headroom gains nothing more. */
const holdHeadroom = 0.15;
/** A held destination gains again from this headroom on. */
const resumeHeadroom = 0.25;
/** A destination whose latency is this many times its usual value gains nothing more. */
const holdLatencyRatio = 3;
const resumeLatencyRatio = 1.5;
/** Part of the cap that is used; the rest covers requests that are spread in whole numbers. */
const capUse = 0.9;
const millisecondsPerMinute = 60_000;

const holdFor = (condition: ZoneCondition, before: ShiftHold | undefined): ShiftHold | undefined => {
	const headroomLimit = before === 'headroom' ? resumeHeadroom : holdHeadroom;
	if (condition.headroom < headroomLimit) {
		return 'headroom';
	}

	const latencyLimit = before === 'latency' ? resumeLatencyRatio : holdLatencyRatio;
	return condition.latencyRatio > latencyLimit ? 'latency' : undefined;
};

const immediateZones = (intent: Intent): Set<AvailabilityZoneName> => {
	const names = intent.drains
		.filter(drain => drain.pace === 'immediate')
		.flatMap(drain => {
			const region = drain.target === 'region' ? intent.regions.find(candidate => candidate.name === drain.name) : undefined;
			return drain.target === 'availabilityZone' ? [drain.name] : (region?.availabilityZones ?? []);
		});
	return new Set(names);
};

/**
 * Creates steering without a configuration.
 *
 * @param options - Place, clock, members and the peers' splits.
 * @returns Steering; it chooses no zone before `configure`.
 */
export const createSteering = ({region, clock, log, members, peerSplits}: SteeringOptions): DrivenSteering => {
	const services = new Map<string, ServiceSteering>();
	const demand = createRegionDemand(clock);
	let intent: Intent | undefined;
	let steppedAt = clock();

	const computeTarget = (service: Service, failedZones: ReadonlySet<AvailabilityZoneName>): readonly ZoneShare[] => intent === undefined
		? []
		: targetSplit({
			intent, service, region, failedZones, demands: demand.demands(intent.regions.map(candidate => candidate.name), members()),
		});

	const knownZones = (): Set<AvailabilityZoneName> => new Set(intent?.regions.flatMap(candidate => candidate.availabilityZones));

	const startingShares = (service: Service, target: readonly ZoneShare[]): readonly ZoneShare[] => {
		const fromPeer = peerSplits.find(split => split.service === service.name);
		const known = knownZones();
		return fromPeer?.shares.filter(share => known.has(share.availabilityZone)) ?? target;
	};

	const configureService = (service: Service) => {
		const before = services.get(service.name);
		const failed = before?.failed ?? new Set<AvailabilityZoneName>();
		const target = computeTarget(service, failed);
		services.set(service.name, {
			service,
			spread: before?.spread ?? createEvenSpread(),
			refusal: before?.refusal ?? createRefusalByClass(),
			shares: before?.shares ?? startingShares(service, target),
			target,
			remaining: before?.remaining ?? 0,
			heldBy: before?.heldBy ?? 'none',
			held: before?.held ?? new Map<AvailabilityZoneName, ShiftHold>(),
			failed,
		});
	};

	const leaveImmediately = (state: ServiceSteering, zones: ReadonlySet<AvailabilityZoneName>) => {
		if (!state.shares.some(share => zones.has(share.availabilityZone))) {
			return;
		}

		state.shares = stepSplit({
			current: state.shares,
			target: state.target,
			plannedBudget: 0,
			failoverBudget: 1,
			failedZones: zones,
			heldZones: new Map(),
		}).shares;
	};

	const stepService = (state: ServiceSteering, caps: Intent['shiftCaps'], elapsedMs: number) => {
		const budgetOf = (sharePerMinute: number) => capUse * sharePerMinute * elapsedMs / millisecondsPerMinute;
		state.target = computeTarget(state.service, state.failed);
		const result = stepSplit({
			current: state.shares,
			target: state.target,
			plannedBudget: budgetOf(caps.plannedSharePerMinute),
			failoverBudget: budgetOf(caps.failoverSharePerMinute),
			failedZones: state.failed,
			heldZones: state.held,
		});
		if (result.heldBy !== state.heldBy) {
			log(steeringEvents.shiftHoldChanged, {service: state.service.name, heldBy: result.heldBy, remaining: result.remaining});
		}

		state.shares = result.shares;
		state.remaining = result.remaining;
		state.heldBy = result.heldBy;
	};

	const applyCondition = (condition: ZoneCondition) => {
		const state = services.get(condition.service);
		if (state === undefined) {
			return;
		}

		const {availabilityZone} = condition;
		if (condition.failed !== state.failed.has(availabilityZone)) {
			log(steeringEvents.zoneFailureChanged, {service: condition.service, availabilityZone, failed: condition.failed});
		}

		if (condition.failed) {
			state.failed.add(availabilityZone);
		} else {
			state.failed.delete(availabilityZone);
		}

		const hold = holdFor(condition, state.held.get(availabilityZone));
		if (hold === undefined) {
			state.held.delete(availabilityZone);
		} else {
			state.held.set(availabilityZone, hold);
		}
	};

	const progressOf = (state: ServiceSteering): ShiftProgress => {
		const cap = state.failed.size > 0 ? intent?.shiftCaps.failoverSharePerMinute : intent?.shiftCaps.plannedSharePerMinute;
		const perSecond = capUse * (cap ?? 0) * 1000 / millisecondsPerMinute;
		return {
			service: state.service.name,
			current: state.shares,
			target: state.target,
			remaining: state.remaining,
			heldBy: state.heldBy,
			secondsLeft: perSecond > 0 ? state.remaining / perSecond : 0,
		};
	};

	const splitOf = (state: ServiceSteering): Split => ({service: state.service.name, shares: state.shares});

	return {
		configure(configuration) {
			intent = configuration.intent;
			const names = new Set(intent.services.map(service => service.name));
			for (const name of services.keys()) {
				if (!names.has(name)) {
					services.delete(name);
				}
			}

			const zones = immediateZones(intent);
			for (const service of intent.services) {
				configureService(service);
				leaveImmediately(services.get(service.name)!, zones);
			}
		},
		step() {
			const now = clock();
			const elapsedMs = Math.min(maximumStepMs, now - steppedAt);
			steppedAt = now;
			demand.observe(members());
			if (intent === undefined) {
				return;
			}

			for (const state of services.values()) {
				stepService(state, intent.shiftCaps, elapsedMs);
			}
		},
		chooseZone(service: string, requestClass: RequestClass) {
			const state = services.get(service);
			if (state === undefined) {
				return undefined;
			}

			const live = state.shares.filter(share => !state.failed.has(share.availabilityZone));
			const refusedFraction = Math.max(0, 1 - totalShare(live));
			return state.refusal.shouldRefuse(requestClass, refusedFraction) ? undefined : state.spread.next(live);
		},
		split(service) {
			const state = services.get(service);
			return state && splitOf(state);
		},
		splits: () => [...services.values()].map(state => splitOf(state)),
		progress: () => [...services.values()].map(state => progressOf(state)),
		observe(conditions) {
			for (const condition of conditions) {
				applyCondition(condition);
			}
		},
		stop() {
			services.clear();
		},
	};
};

/** Share of a zone in a split; 0 where it has none. */
export const zoneShare = (split: Split | undefined, availabilityZone: AvailabilityZoneName): number =>
	split === undefined ? 0 : shareOf(split.shares, availabilityZone);
