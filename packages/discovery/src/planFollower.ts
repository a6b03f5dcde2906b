/**
 * Maintains the traffic plan in force and the evacuated availability zones from the rows that operators write.
 */
import {discoveryEvents} from '@filbertwell/logger/events/discoveryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {TrafficPlan} from '@filbertwell/types/trafficPlan';
import type {Result} from 'neverthrow';
import type {WatchedRow} from './watchedTable.js';

/** Content of a row that an operator wrote. `other` rows are ignored. */
export type OperatorRow =
	| {readonly kind: 'plan'; readonly plan: TrafficPlan}
	| {readonly kind: 'evacuation'; readonly availabilityZone: AvailabilityZoneName}
	| {readonly kind: 'other'};

/** Decodes a row of an operator; the value is `undefined` for a removed row. The error describes why the row is invalid. */
export type DecodeOperatorRow = (row: WatchedRow) => Result<OperatorRow, string>;

/** Current traffic plan and evacuations. */
export type PlanFollower = {
	/** Applies changed and removed rows. Invalid rows and plans without a higher version are logged and ignored. */
	readonly apply: (rows: readonly WatchedRow[]) => void;
	/** The plan in force; `undefined` before the first one. Its version never decreases. */
	readonly plan: () => TrafficPlan | undefined;
	/** Evacuated zones. The set is updated in place. */
	readonly evacuatedZones: () => ReadonlySet<AvailabilityZoneName>;
};

/**
 * Creates a follower without a plan and without evacuated zones.
 *
 * @param decode - Decodes the rows.
 * @param log - Receives changes of the state and rejected rows.
 * @returns The follower.
 */
export const createPlanFollower = (decode: DecodeOperatorRow, log: Logger): PlanFollower => {
	const evacuated = new Set<AvailabilityZoneName>();
	let plan: TrafficPlan | undefined;

	const applyPlan = (next: TrafficPlan) => {
		if (plan !== undefined && next.version <= plan.version) {
			log(discoveryEvents.planIgnored, {version: next.version, inForce: plan.version});
			return;
		}

		log(discoveryEvents.planInForce, {
			version: next.version, previous: plan?.version, routes: next.routes.length, services: next.services.size,
		});
		if (next.unknownRouteKinds.length > 0) {
			log(discoveryEvents.routeKindUnknown, {version: next.version, kinds: next.unknownRouteKinds.join(', ')});
		}

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
					applyPlan(decoded.value.plan);
				} else if (decoded.value.kind === 'evacuation') {
					setEvacuated(decoded.value.availabilityZone, row.value !== undefined);
				}
			}
		},
		plan: () => plan,
		evacuatedZones: () => evacuated,
	};
};
