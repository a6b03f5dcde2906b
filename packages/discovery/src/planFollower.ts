/**
 * The traffic plan in force and the availability zones under evacuation, from rows of the operators.
 */
import {discoveryEvents} from '@filbertwell/logger/events/discoveryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {TrafficPlan} from '@filbertwell/types/trafficPlan';
import type {Result} from 'neverthrow';
import type {WatchedRow} from './watchedTable.js';

/** What an operator's row says. */
export type OperatorRow =
	| {readonly kind: 'plan'; readonly plan: TrafficPlan}
	| {readonly kind: 'evacuation'; readonly availabilityZone: AvailabilityZoneName}
	| {readonly kind: 'other'};

/** Reads an operator's row; an absent value names a row that was removed. */
export type DecodeOperatorRow = (row: WatchedRow) => Result<OperatorRow, string>;

/** What operators want at the moment. */
export type PlanFollower = {
	/** Takes in changed rows. */
	readonly apply: (rows: readonly WatchedRow[]) => void;
	/** The plan in force; `undefined` before the first. Its version never falls. */
	readonly plan: () => TrafficPlan | undefined;
	readonly evacuatedZones: () => ReadonlySet<AvailabilityZoneName>;
};

/**
 * Creates a follower without a plan.
 *
 * @param decode - Reads rows.
 * @param log - Log.
 * @returns The follower.
 */
export const createPlanFollower = (decode: DecodeOperatorRow, log: Logger): PlanFollower => {
	const evacuated = new Set<AvailabilityZoneName>();
	let plan: TrafficPlan | undefined;

	const takePlan = (next: TrafficPlan) => {
		if (plan !== undefined && next.version <= plan.version) {
			log(discoveryEvents.planIgnored, {version: next.version, inForce: plan.version});
			return;
		}

		log(discoveryEvents.planInForce, {
			version: next.version, previous: plan?.version, routes: next.routes.length, services: next.services.size,
		});
		plan = next;
	};

	const setEvacuated = (zone: AvailabilityZoneName, isEvacuated: boolean) => {
		if (evacuated.has(zone) !== isEvacuated) {
			log(discoveryEvents.evacuationChanged, {zone, evacuated: isEvacuated});
		}

		if (isEvacuated) {
			evacuated.add(zone);
		} else {
			evacuated.delete(zone);
		}
	};

	return {
		apply(rows) {
			for (const row of rows) {
				const decoded = decode(row);
				if (decoded.isErr()) {
					log(discoveryEvents.operatorRowRejected, {key: row.key, reason: decoded.error, inForce: plan?.version});
				} else if (decoded.value.kind === 'plan') {
					takePlan(decoded.value.plan);
				} else if (decoded.value.kind === 'evacuation') {
					setEvacuated(decoded.value.availabilityZone, row.value !== undefined);
				}
			}
		},
		plan: () => plan,
		evacuatedZones: () => evacuated,
	};
};
