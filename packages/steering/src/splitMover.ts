/**
 * One step of a split towards its target.
 *
 * A step moves at most the budget that the cap and the elapsed time allow. Every entry bounds its
 * own split, and the traffic of the whole service is a weighted mean of the entries' splits, so
 * the whole moves no faster than the cap, without coordination.
 */
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {ShiftHold, ZoneShare} from '@filbertwell/types/split';

/** Inputs of a step. */
export type SplitStep = {
	readonly current: readonly ZoneShare[];
	readonly target: readonly ZoneShare[];
	/** Share that planned moves may shift in this step. */
	readonly plannedBudget: number;
	/** Share that moves away from failed zones may shift in this step. */
	readonly failoverBudget: number;
	readonly failedZones: ReadonlySet<AvailabilityZoneName>;
	/** Zones that may not gain in this step, each with the reason. */
	readonly heldZones: ReadonlyMap<AvailabilityZoneName, ShiftHold>;
};

/** Result of a step. */
export type SplitStepResult = {
	readonly shares: readonly ZoneShare[];
	/** Share that the step moved. */
	readonly moved: number;
	readonly remaining: number;
	readonly heldBy: ShiftHold;
};

type ZoneChange = {
	readonly availabilityZone: AvailabilityZoneName;
	readonly current: number;
	readonly gain: number;
	readonly loss: number;
};

const negligibleShare = 1e-9;

/** Looks up a zone's share; 0 where the split does not name it. */
export const shareOf = (shares: readonly ZoneShare[], availabilityZone: AvailabilityZoneName): number =>
	shares.find(share => share.availabilityZone === availabilityZone)?.share ?? 0;

/** Adds up the shares of a split. */
export const totalShare = (shares: readonly ZoneShare[]): number => shares.reduce((sum, {share}) => sum + share, 0);

const zoneChanges = (current: readonly ZoneShare[], target: readonly ZoneShare[]): ZoneChange[] => {
	const names = new Set([...current, ...target].map(share => share.availabilityZone));
	return [...names].map(availabilityZone => {
		const before = shareOf(current, availabilityZone);
		const difference = shareOf(target, availabilityZone) - before;
		return {
			availabilityZone, current: before, gain: Math.max(0, difference), loss: Math.max(0, -difference),
		};
	});
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const fractionOf = (part: number, whole: number): number => whole > negligibleShare ? part / whole : 0;

const describeHold = (remaining: number, gainRoom: number, held: readonly ShiftHold[]): ShiftHold => {
	if (remaining <= negligibleShare) {
		return 'none';
	}

	return gainRoom <= negligibleShare && held[0] !== undefined ? held[0] : 'cap';
};

/**
 * Computes the next split.
 *
 * @param step - Current split, target, budgets and holds.
 * @returns The next split, what was moved, and what keeps the rest from moving.
 */
export const stepSplit = ({current, target, plannedBudget, failoverBudget, failedZones, heldZones}: SplitStep): SplitStepResult => {
	const changes = zoneChanges(current, target);
	const isOpen = (change: ZoneChange) => !heldZones.has(change.availabilityZone);
	const gainRoom = sum(changes.filter(change => isOpen(change)).map(change => change.gain));
	// A share that no zone serves now counts as failed: giving it a place is a failover.
	const unplaced = Math.max(0, totalShare(target) - totalShare(current));
	const failedLoss = sum(changes.filter(change => failedZones.has(change.availabilityZone)).map(change => change.loss));
	const plannedLoss = sum(changes.filter(change => !failedZones.has(change.availabilityZone)).map(change => change.loss));

	const failoverMove = Math.min(failedLoss + unplaced, failoverBudget, gainRoom);
	const plannedMove = Math.min(plannedLoss, Math.max(0, plannedBudget - failoverMove), gainRoom - failoverMove);
	const failedFraction = fractionOf(failoverMove, failedLoss + unplaced);
	const plannedFraction = fractionOf(plannedMove, plannedLoss);
	const gainFraction = fractionOf(failoverMove + plannedMove, gainRoom);

	const shares = changes
		.map(change => {
			const lossFraction = failedZones.has(change.availabilityZone) ? failedFraction : plannedFraction;
			const gain = isOpen(change) ? change.gain * gainFraction : 0;
			return {availabilityZone: change.availabilityZone, share: change.current - (change.loss * lossFraction) + gain};
		})
		.filter(({share}) => share > negligibleShare);
	const remaining = sum(changes.map(change => change.gain)) - failoverMove - plannedMove;
	const held = changes.filter(change => change.gain > negligibleShare).flatMap(change => heldZones.get(change.availabilityZone) ?? []);
	return {
		shares,
		moved: failoverMove + plannedMove,
		remaining: Math.max(0, remaining),
		heldBy: describeHold(remaining, gainRoom, held),
	};
};
