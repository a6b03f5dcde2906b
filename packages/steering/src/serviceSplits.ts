/**
 * The splits of one service, for this entry's region and, as shadows, for all others.
 *
 * Every entry computes the same targets and moves under the same caps, so its shadow of another
 * region follows that region's own splits. A process that starts where no peer of its region is
 * left goes on from a shadow, so that the replacement of a whole region moves nothing at once.
 */
import type {Intent, Service, ShiftCaps} from '@filbertwell/types/intent';
import type {AvailabilityZoneName, RegionName} from '@filbertwell/types/place';
import type {RegionalSplit, ShiftHold, ZoneShare} from '@filbertwell/types/split';
import {stepSplit} from './splitMover.js';
import type {ZoneCondition} from './steering.js';
import {createZoneHolds} from './zoneHolds.js';
import {targetSplit, type RegionDemand} from './zoneTarget.js';

/** Split of a region with its motion. */
export type MovingSplit = {
	readonly shares: readonly ZoneShare[];
	readonly target: readonly ZoneShare[];
	/** Share still to move, from 0 to 1. */
	readonly remaining: number;
	readonly heldBy: ShiftHold;
};

/** Splits of one service by region. */
export type ServiceSplits = {
	/** Puts an intent in force; a region without a split yet gets its starting one. */
	readonly configure: (intent: Intent, service: Service, demands: readonly RegionDemand[]) => void;
	/** Moves all splits by the time that has passed. */
	readonly step: (elapsedMs: number, demands: readonly RegionDemand[]) => void;
	/** Takes over splits of this service that a peer uses now. */
	readonly adopt: (peerSplits: readonly RegionalSplit[]) => void;
	readonly ofRegion: (region: RegionName) => MovingSplit | undefined;
	readonly all: () => readonly RegionalSplit[];
	readonly failedZones: () => ReadonlySet<AvailabilityZoneName>;
	/** Takes in a condition; returns whether the zone has failed or recovered by it. */
	readonly observe: (condition: ZoneCondition) => boolean;
};

/** Part of the cap that is used; the rest covers requests that are spread in whole numbers. */
export const capUse = 0.9;
const millisecondsPerMinute = 60_000;

/** Zones that an operator empties at once, outside the caps. */
const immediatelyDrained = ({drains, regions}: Intent): ReadonlySet<AvailabilityZoneName> => new Set(drains
	.filter(drain => drain.pace === 'immediate')
	.flatMap(({target, name}) => {
		if (target === 'availabilityZone') {
			return [name];
		}

		return target === 'region' ? (regions.find(region => region.name === name)?.availabilityZones ?? []) : [];
	}));

/** The split without the zones that are drained at once; the others take their share. */
const leaveZones = (shares: readonly ZoneShare[], target: readonly ZoneShare[], zones: ReadonlySet<AvailabilityZoneName>): readonly ZoneShare[] =>
	shares.some(share => zones.has(share.availabilityZone))
		? stepSplit({
			current: shares, target, plannedBudget: 0, failoverBudget: 1, failedZones: zones, heldZones: new Map(),
		}).shares
		: shares;

/**
 * Creates the splits of a service.
 *
 * @param startingSplits - Splits of this service that peers use now, by region; a region that is
 * not among them starts at its target.
 * @returns The splits, empty before `configure`.
 */
export const createServiceSplits = (startingSplits: readonly RegionalSplit[]): ServiceSplits => {
	const splits = new Map<RegionName, MovingSplit>();
	const holds = createZoneHolds();
	let configured: {readonly intent: Intent; readonly service: Service} | undefined;

	const sharesOf = (peerSplits: readonly RegionalSplit[], region: RegionName, {regions}: Intent): readonly ZoneShare[] | undefined => {
		const known = new Set(regions.flatMap(({availabilityZones}) => availabilityZones));
		return peerSplits.find(split => split.region === region)?.shares.filter(share => known.has(share.availabilityZone));
	};

	const targetOf = (region: RegionName, intent: Intent, service: Service, demands: readonly RegionDemand[]) => targetSplit({
		intent, service, region, demands, failedZones: holds.failed(),
	});

	const stepRegion = (region: RegionName, split: MovingSplit, target: readonly ZoneShare[], caps: ShiftCaps, elapsedMs: number): void => { // eslint-disable-line max-params
		const budgetOf = (sharePerMinute: number) => capUse * sharePerMinute * elapsedMs / millisecondsPerMinute;
		const {shares, remaining, heldBy} = stepSplit({
			current: split.shares,
			target,
			plannedBudget: budgetOf(caps.plannedSharePerMinute),
			failoverBudget: budgetOf(caps.failoverSharePerMinute),
			failedZones: holds.failed(),
			heldZones: holds.held(),
		});
		splits.set(region, {
			shares, target, remaining, heldBy,
		});
	};

	return {
		configure(intent, service, demands) {
			configured = {intent, service};
			const zones = immediatelyDrained(intent);
			for (const {name} of intent.regions) {
				const target = targetOf(name, intent, service, demands);
				const shares = splits.get(name)?.shares ?? sharesOf(startingSplits, name, intent) ?? target;
				splits.set(name, {
					shares: leaveZones(shares, target, zones), target, remaining: 0, heldBy: 'none',
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
				splits.set(region, {...split, shares: sharesOf(peerSplits, region, configured!.intent) ?? split.shares});
			}
		},
		ofRegion: region => splits.get(region),
		all: () => [...splits].map(([region, {shares}]) => ({region, service: configured!.service.name, shares})),
		failedZones: holds.failed,
		observe: holds.observe,
	};
};
