/**
 * Maintains the splits of one service for this entry's region and, as local replicas, for all others.
 *
 * Every entry computes the same targets and moves within the same caps, so its replica of another
 * region's split follows that region's own splits. A process that starts when its region has no
 * peer left resumes from a peer's replica, so that replacing all entries of a region moves no
 * traffic at once.
 */
import type {Intent, Service, ShiftCaps} from '@filbertwell/types/intent';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {RegionalSplit, ShiftHold, ZoneShare} from '@filbertwell/types/split';
import {stepSplit} from './stepSplit.js';
import type {ZoneCondition} from './steering.js';
import {createZoneHolds} from './zoneHolds.js';
import {targetSplit, type RegionDemand} from './targetSplit.js';

/** Split of a region and its progress towards the target. */
export type SplitState = {
	readonly shares: readonly ZoneShare[];
	readonly target: readonly ZoneShare[];
	/** Share still to move, from 0 to 1. */
	readonly remaining: number;
	readonly heldBy: ShiftHold;
};

/** Splits of one service by region. */
export type ServiceSplits = {
	/** Applies an intent; a region without a split gets its initial one. */
	readonly configure: (intent: Intent, service: Service, demands: readonly RegionDemand[]) => void;
	/** Advances all splits by the elapsed time. */
	readonly step: (elapsedMs: number, demands: readonly RegionDemand[]) => void;
	/** Replaces the shares of each region for which a peer's split is given. */
	readonly adopt: (peerSplits: readonly RegionalSplit[]) => void;
	readonly ofRegion: (region: RegionName) => SplitState | undefined;
	readonly all: () => readonly RegionalSplit[];
	readonly failedZones: () => ReadonlySet<AvailabilityZoneName>;
	/** Records the condition of a zone. Returns whether the zone changed between failed and not failed. */
	readonly observe: (condition: ZoneCondition) => boolean;
};

/** Fraction of the cap that is used. The rest is a margin, because whole requests follow a split only approximately. */
export const capUtilization = 0.9;
const millisecondsPerMinute = 60_000;

/** Zones with an immediate drain by an operator, which the caps do not limit. */
const immediatelyDrainedZones = ({drains, regions}: Intent): ReadonlySet<AvailabilityZoneName> => new Set(drains
	.filter(drain => drain.pace === 'immediate')
	.flatMap(({target, name}) => {
		if (target === 'availabilityZone') {
			return [name];
		}

		return target === 'region' ? (regions.find(region => region.name === name)?.availabilityZones ?? []) : [];
	}));

/** Moves the shares of immediately drained zones to the other zones of the target. */
const evacuateZones = (shares: readonly ZoneShare[], target: readonly ZoneShare[], zones: ReadonlySet<AvailabilityZoneName>): readonly ZoneShare[] =>
	shares.some(share => zones.has(share.availabilityZone))
		? stepSplit({
			current: shares, target, plannedBudget: 0, failoverBudget: 1, failedZones: zones, heldZones: new Map(),
		}).shares
		: shares;

/**
 * Creates the splits of a service.
 *
 * @param startingSplits - Current splits of this service at the peers, by region; a region without
 * one starts at its target.
 * @returns The splits; empty before `configure`.
 */
export const createServiceSplits = (startingSplits: readonly RegionalSplit[]): ServiceSplits => {
	const splits = new Map<RegionName, SplitState>();
	const holds = createZoneHolds();
	let configured: {readonly intent: Intent; readonly service: Service} | undefined;

	const peerSharesOf = (peerSplits: readonly RegionalSplit[], region: RegionName, {regions}: Intent): readonly ZoneShare[] | undefined => {
		const configuredZones = new Set(regions.flatMap(({availabilityZones}) => availabilityZones));
		return peerSplits.find(split => split.region === region)?.shares.filter(share => configuredZones.has(share.availabilityZone));
	};

	const targetOf = (region: RegionName, intent: Intent, service: Service, demands: readonly RegionDemand[]) => targetSplit({
		intent, service, region, demands, failedZones: holds.failedZones(),
	});

	const stepRegion = (region: RegionName, split: SplitState, target: readonly ZoneShare[], caps: ShiftCaps, elapsedMs: number): void => { // eslint-disable-line max-params
		const budgetOf = (sharePerMinute: number) => capUtilization * sharePerMinute * elapsedMs / millisecondsPerMinute;
		const {shares, remaining, heldBy} = stepSplit({
			current: split.shares,
			target,
			plannedBudget: budgetOf(caps.plannedSharePerMinute),
			failoverBudget: budgetOf(caps.failoverSharePerMinute),
			failedZones: holds.failedZones(),
			heldZones: holds.heldZones(),
		});
		splits.set(region, {
			shares, target, remaining, heldBy,
		});
	};

	return {
		configure(intent, service, demands) {
			configured = {intent, service};
			const zones = immediatelyDrainedZones(intent);
			for (const {name} of intent.regions) {
				const target = targetOf(name, intent, service, demands);
				const shares = splits.get(name)?.shares ?? peerSharesOf(startingSplits, name, intent) ?? target;
				splits.set(name, {
					shares: evacuateZones(shares, target, zones), target, remaining: 0, heldBy: 'none',
				});
			}
		},
		step(elapsedMs, demands) {
			if (configured === undefined) {
				return;
			}

			const {intent, service} = configured;
			for (const {name} of intent.regions) {
				stepRegion(name, splits.get(name)!, targetOf(name, intent, service, demands), intent.shiftCaps, elapsedMs);
			}
		},
		adopt(peerSplits) {
			for (const [region, split] of splits) {
				splits.set(region, {...split, shares: peerSharesOf(peerSplits, region, configured!.intent) ?? split.shares});
			}
		},
		ofRegion: region => splits.get(region),
		all: () => [...splits].map(([region, {shares}]) => ({region, service: configured!.service.name, shares})),
		failedZones: holds.failedZones,
		observe: holds.observe,
	};
};
