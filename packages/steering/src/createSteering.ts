/**
 * Keeps the splits of this entry's traffic and moves them towards their targets under the shift caps.
 */
import {steeringEvents} from '@filbertwell/logger/events/steeringEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Intent} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import type {RegionName} from '@filbertwell/types/place';
import type {RegionalSplit, ShiftProgress} from '@filbertwell/types/split';
import type {Clock} from '@filbertwell/utils/clock';
import {createEvenSpread, type EvenSpread} from './evenSpread.js';
import {createRefusalByClass, type RefusalByClass} from './refusalByClass.js';
import {createRegionDemand} from './regionDemand.js';
import {
	capUse, createServiceSplits, type MovingSplit, type ServiceSplits,
} from './serviceSplits.js';
import {servableShares} from './servableShares.js';
import {totalShare} from './splitMover.js';
import type {Steering} from './steering.js';

/** Parts that steering needs. */
export type SteeringOptions = {
	readonly region: RegionName;
	readonly clock: Clock;
	readonly log: Logger;
	readonly members: () => readonly Member[];
	/**
	 * Splits that peers use now; empty where no peer answered. A restarted entry goes on from
	 * there, never from the target.
	 */
	readonly peerSplits: readonly RegionalSplit[];
};

/** Steering with the inputs that its process drives. */
export type DrivenSteering = Steering & {
	/** Puts a configuration in force. */
	readonly configure: (configuration: Configuration) => void;
	/**
	 * Moves the splits by the time since the last step; called about every 250 ms.
	 *
	 * @returns Time that the step did not make up for, in milliseconds: that of a pause of the process.
	 */
	readonly step: () => number;
	/**
	 * Goes on from peers' splits, as a starting entry does. For an entry that was paused for so
	 * long that its callers went to its peers: with its old split it would move them back.
	 */
	readonly adopt: (peerSplits: readonly RegionalSplit[]) => void;
};

type ServiceSteering = {
	readonly splits: ServiceSplits;
	readonly spread: EvenSpread;
	readonly refusal: RefusalByClass;
};

/** Longest time that one step makes up for; a process that was paused does not jump. */
const maximumStepMs = 500;
const secondsPerMinute = 60;
const negligibleShare = 1e-6;

/**
 * Creates steering without a configuration.
 *
 * @param options - Place, clock, members and the peers' splits.
 * @returns Steering; before `configure` it leaves the choice to locality.
 */
export const createSteering = ({region, clock, log, members, peerSplits}: SteeringOptions): DrivenSteering => {
	const services = new Map<string, ServiceSteering>();
	const demand = createRegionDemand(clock);
	let intent: Intent | undefined;
	let steppedAt = clock();

	const demands = () => demand.demands(intent?.regions.map(({name}) => name) ?? [], members());

	const serviceSteering = (service: string): ServiceSteering => {
		const existing = services.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const created = {
			splits: createServiceSplits(peerSplits.filter(split => split.service === service)),
			spread: createEvenSpread(),
			refusal: createRefusalByClass(),
		};
		services.set(service, created);
		return created;
	};

	const logHold = (service: string, before: MovingSplit | undefined, after: MovingSplit | undefined): void => {
		if (after !== undefined && before?.heldBy !== after.heldBy) {
			log(steeringEvents.shiftHoldChanged, {service, heldBy: after.heldBy, remaining: after.remaining});
		}
	};

	const progressOf = (service: string, {shares, target, remaining, heldBy}: MovingSplit, hasFailure: boolean): ShiftProgress => {
		const cap = (hasFailure ? intent?.shiftCaps.failoverSharePerMinute : intent?.shiftCaps.plannedSharePerMinute) ?? 0;
		const perSecond = capUse * cap / secondsPerMinute;
		return {
			service, current: shares, target, remaining, heldBy, secondsLeft: perSecond > 0 ? remaining / perSecond : 0,
		};
	};

	return {
		configure(configuration) {
			intent = configuration.intent;
			const names = new Set(intent.services.map(({name}) => name));
			for (const name of services.keys()) {
				if (!names.has(name)) {
					services.delete(name);
				}
			}

			for (const service of intent.services) {
				serviceSteering(service.name).splits.configure(intent, service, demands());
			}
		},
		step() {
			const now = clock();
			const passedMs = now - steppedAt;
			const elapsedMs = Math.min(maximumStepMs, passedMs);
			steppedAt = now;
			demand.observe(members());
			const currentDemands = demands();
			for (const [name, {splits}] of services) {
				const before = splits.ofRegion(region);
				splits.step(elapsedMs, currentDemands);
				logHold(name, before, splits.ofRegion(region));
			}

			return passedMs - elapsedMs;
		},
		adopt(newSplits) {
			for (const [name, {splits}] of services) {
				splits.adopt(newSplits.filter(split => split.service === name));
			}
		},
		chooseZone(service, requestClass) {
			const state = services.get(service);
			const split = state?.splits.ofRegion(region);
			if (state === undefined || split === undefined) {
				return {kind: 'anywhere'};
			}

			const live = servableShares(split, state.splits.failedZones(), intent!.regions);
			const unplaced = 1 - totalShare(live);
			const refusedFraction = unplaced > negligibleShare ? unplaced : 0;
			const availabilityZone = state.refusal.shouldRefuse(requestClass, refusedFraction) ? undefined : state.spread.next(live);
			return availabilityZone === undefined ? {kind: 'refused'} : {kind: 'zone', availabilityZone};
		},
		splits: () => [...services.values()].flatMap(({splits}) => splits.all()),
		progress: () => [...services].flatMap(([name, {splits}]) => {
			const split = splits.ofRegion(region);
			return split === undefined ? [] : [progressOf(name, split, splits.failedZones().size > 0)];
		}),
		observe(conditions) {
			for (const condition of conditions) {
				const {service, availabilityZone, failed} = condition;
				if (services.get(service)?.splits.observe(condition)) {
					log(steeringEvents.zoneFailureChanged, {service, availabilityZone, failed});
				}
			}
		},
		stop() {
			services.clear();
		},
	};
};
