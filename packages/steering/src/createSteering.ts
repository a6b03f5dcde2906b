/**
 * Maintains the splits of this entry's traffic and moves them towards their targets within the shift caps.
 */
import {steeringEvents} from '@filbertwell/logger/events/steeringEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Intent} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import type {RegionName} from '@filbertwell/types/place';
import type {RegionalSplit, ShiftProgress} from '@filbertwell/types/split';
import type {Clock} from '@filbertwell/utils/clock';
import {createWeightedRoundRobin, type WeightedRoundRobin} from './weightedRoundRobin.js';
import {createLoadShedder, type LoadShedder} from './loadShedder.js';
import {createRegionDemandEstimator} from './regionDemandEstimator.js';
import {
	capUtilization, createServiceSplits, type SplitState, type ServiceSplits,
} from './serviceSplits.js';
import {servableShares} from './servableShares.js';
import {totalShare} from './stepSplit.js';
import type {Steering} from './steering.js';

/** Place, time source and inputs of a steering controller. */
export type SteeringOptions = {
	/** Region of this entry. */
	readonly region: RegionName;
	readonly clock: Clock;
	readonly log: Logger;
	readonly members: () => readonly Member[];
	/**
	 * Current splits of the peers; empty if no peer answered. A restarted entry resumes from them,
	 * never from the target.
	 */
	readonly peerSplits: readonly RegionalSplit[];
};

/** Steering with the operations by which its owner configures and advances it. */
export type SteeringController = Steering & {
	/** Applies a configuration. */
	readonly configure: (configuration: Configuration) => void;
	/**
	 * Advances the splits by the time since the last step; called about every 250 ms.
	 *
	 * @returns Elapsed milliseconds beyond the limit of one step, which the step ignores; above 0
	 * after a pause of the process.
	 */
	readonly step: () => number;
	/**
	 * Replaces the current splits by those of peers, as at start. Called after a pause in which the
	 * callers of this entry moved to its peers; its outdated split would move their traffic back.
	 */
	readonly adopt: (peerSplits: readonly RegionalSplit[]) => void;
};

type ServiceSteering = {
	readonly splits: ServiceSplits;
	readonly roundRobin: WeightedRoundRobin;
	readonly loadShedder: LoadShedder;
};

/** Longest elapsed time that one step applies, so that splits do not jump after a pause of the process. */
const maximumStepMs = 500;
const secondsPerMinute = 60;
const negligibleShare = 1e-6;

/**
 * Creates a steering controller without a configuration.
 *
 * @param options - Region, clock, log, members and the peers' splits.
 * @returns The controller; before `configure`, `chooseZone` returns `anywhere` and locality decides.
 */
export const createSteering = ({region, clock, log, members, peerSplits}: SteeringOptions): SteeringController => {
	const services = new Map<string, ServiceSteering>();
	const demand = createRegionDemandEstimator(clock);
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
			roundRobin: createWeightedRoundRobin(),
			loadShedder: createLoadShedder(),
		};
		services.set(service, created);
		return created;
	};

	const logHoldChange = (service: string, before: SplitState | undefined, after: SplitState | undefined): void => {
		if (after !== undefined && before?.heldBy !== after.heldBy) {
			log(steeringEvents.shiftHoldChanged, {service, heldBy: after.heldBy, remaining: after.remaining});
		}
	};

	const progressOf = (service: string, {shares, target, remaining, heldBy}: SplitState, hasFailure: boolean): ShiftProgress => {
		const cap = (hasFailure ? intent?.shiftCaps.failoverSharePerMinute : intent?.shiftCaps.plannedSharePerMinute) ?? 0;
		const perSecond = capUtilization * cap / secondsPerMinute;
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
			const uncappedElapsedMs = now - steppedAt;
			const elapsedMs = Math.min(maximumStepMs, uncappedElapsedMs);
			steppedAt = now;
			demand.observe(members());
			const currentDemands = demands();
			for (const [name, {splits}] of services) {
				const before = splits.ofRegion(region);
				splits.step(elapsedMs, currentDemands);
				logHoldChange(name, before, splits.ofRegion(region));
			}

			return uncappedElapsedMs - elapsedMs;
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

			const servable = servableShares(split, state.splits.failedZones(), intent!.regions);
			const unplaced = 1 - totalShare(servable);
			const refusedFraction = unplaced > negligibleShare ? unplaced : 0;
			const availabilityZone = state.loadShedder.shouldRefuse(requestClass, refusedFraction) ? undefined : state.roundRobin.next(servable);
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
