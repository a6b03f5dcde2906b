/**
 * Moves a split one step towards its target.
 *
 * A step moves at most the budget that the cap and the elapsed time allow. Every entry limits its
 * own split, and the split of the whole service is a weighted mean of the entries' splits, so it
 * changes no faster than the cap without coordination between entries.
 */
import type {AvailabilityZoneName} from '@filbertwell/types/place';
import type {ShiftHold, ZoneShare} from '@filbertwell/types/split';

/** Current and target split with the limits of one step. */
export type SplitStep = {
	readonly current: readonly ZoneShare[];
	readonly target: readonly ZoneShare[];
	/** Largest share that planned moves may shift in this step. */
	readonly plannedBudget: number;
	/** Largest share that may move away from failed zones in this step. */
	readonly failoverBudget: number;
	readonly failedZones: ReadonlySet<AvailabilityZoneName>;
	/** Zones that may not gain share in this step, with the reason. */
	readonly heldZones: ReadonlyMap<AvailabilityZoneName, ShiftHold>;
};

/** Split after a step and what is left to move. */
export type SplitStepResult = {
	readonly shares: readonly ZoneShare[];
	/** Share that the step moved. */
	readonly moved: number;
	/** Share that is still to be moved. */
	readonly remaining: number;
	/** What limits the remaining move; `none` if nothing remains. */
	readonly heldBy: ShiftHold;
};

type ZoneChange = {
	readonly availabilityZone: AvailabilityZoneName;
	readonly current: number;
	readonly gain: number;
	readonly loss: number;
};

const negligibleShare = 1e-9;

/** Returns the share of a zone; 0 if the split does not contain it. */
export const shareOf = (shares: readonly ZoneShare[], availabilityZone: AvailabilityZoneName): number =>
	shares.find(share => share.availabilityZone === availabilityZone)?.share ?? 0;

/** Sums the shares of a split. */
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

const holdReason = (remaining: number, gainCapacity: number, held: readonly ShiftHold[]): ShiftHold => {
	if (remaining <= negligibleShare) {
		return 'none';
	}

	return gainCapacity <= negligibleShare && held[0] !== undefined ? held[0] : 'cap';
};

/**
 * Computes the split after one step.
 *
 * @param step - Current split, target, budgets, failed zones and held zones.
 * @returns The split after the step, the share moved, the share remaining and what limits it.
 */
export const stepSplit = ({current, target, plannedBudget, failoverBudget, failedZones, heldZones}: SplitStep): SplitStepResult => {
	const changes = zoneChanges(current, target);
	const mayGain = (change: ZoneChange) => !heldZones.has(change.availabilityZone);
	const gainCapacity = sum(changes.filter(change => mayGain(change)).map(change => change.gain));
	// A share that no zone serves counts as failed, so assigning it to a zone uses the failover budget.
	const unplaced = Math.max(0, totalShare(target) - totalShare(current));
	const failedLoss = sum(changes.filter(change => failedZones.has(change.availabilityZone)).map(change => change.loss));
	const plannedLoss = sum(changes.filter(change => !failedZones.has(change.availabilityZone)).map(change => change.loss));

	const failoverMove = Math.min(failedLoss + unplaced, failoverBudget, gainCapacity);
	const plannedMove = Math.min(plannedLoss, Math.max(0, plannedBudget - failoverMove), gainCapacity - failoverMove);
	const failedFraction = fractionOf(failoverMove, failedLoss + unplaced);
	const plannedFraction = fractionOf(plannedMove, plannedLoss);
	const gainFraction = fractionOf(failoverMove + plannedMove, gainCapacity);

	const shares = changes
		.map(change => {
			const lossFraction = failedZones.has(change.availabilityZone) ? failedFraction : plannedFraction;
			const gain = mayGain(change) ? change.gain * gainFraction : 0;
			return {availabilityZone: change.availabilityZone, share: change.current - (change.loss * lossFraction) + gain};
		})
		.filter(({share}) => share > negligibleShare);
	const remaining = sum(changes.map(change => change.gain)) - failoverMove - plannedMove;
	const held = changes.filter(change => change.gain > negligibleShare).flatMap(change => heldZones.get(change.availabilityZone) ?? []);
	return {
		shares,
		moved: failoverMove + plannedMove,
		remaining: Math.max(0, remaining),
		heldBy: holdReason(remaining, gainCapacity, held),
	};
};
