/**
 * Handles one attempt of an at-most-once request, from claim to answer.
 *
 * Only the attempt that holds the claim dispatches the request, once, and only within a time limit
 * measured on its own monotonic clock. A claim is never taken over. An attempt without the claim
 * answers with a kept answer, with `in-doubt`, or with `not-run` if neither it nor any earlier
 * attempt has run or can still run.
 */
import {ordersEvents} from '@filbertwell/logger/events/ordersEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Clock} from '@filbertwell/utils/clock';
import {takeClaim, type ClaimOutcome} from './claim.js';
import type {KeptAnswers} from './keptAnswers.js';
import type {OrderLimits} from './orderLimits.js';
import {
	claimedRow, orderRowKey, rowBase, type OrderRow,
} from './orderRow.js';
import type {
	DispatchOutcome, KeptAnswer, Order, OrderOutcome,
} from './orders.js';
import type {OrderTable} from './orderTable.js';
import type {Outcome, OutcomeWriter} from './outcomeWriter.js';

export type OrderFlowOptions = {
	readonly table: OrderTable;
	readonly outcomes: OutcomeWriter;
	readonly keptAnswers: KeptAnswers;
	readonly limits: OrderLimits;
	readonly clock: Clock;
	/** Wall clock in milliseconds, used only for retention. */
	readonly wallClock: () => number;
	readonly log: Logger;
	readonly createToken: () => string;
	/** Waits until a row claimed by another attempt may have changed, for at most the given time. */
	readonly waitForChange: (rowKey: string, milliseconds: number) => Promise<void>;
	/** Settles with the promise, or resolves to `undefined` once the given time is over. */
	readonly withTimeout: <Value>(promise: Promise<Value>, milliseconds: number) => Promise<Value | undefined>;
};

/** State of one attempt during the protocol. */
type OrderAttempt = {
	readonly order: Order;
	readonly rowKey: string;
	/** The row that this attempt claims with. */
	readonly row: OrderRow;
	readonly arrivedAtMs: number;
	readonly answerDeadlineMs: number;
	/** Whether a row of another attempt was seen; attempt number 1 then no longer counts as the first. */
	hasSeenOtherAttempt: boolean;
};

/** A claim of this attempt, whether or not its write is known to have taken effect. */
type OwnClaim = {
	readonly rowKey: string;
	readonly revision: number;
	readonly row: OrderRow;
	/** The request must be dispatched before this time or not at all. */
	readonly dispatchBeforeMs: number;
};

const formatQueryHint = (order: Order): string => `ask GET /orders?service=${encodeURIComponent(order.service)}&key=${encodeURIComponent(order.key)}`;

const inDoubt = (order: Order, reason: string): OrderOutcome => ({kind: 'in-doubt', reason: `${reason}; ${formatQueryHint(order)}`});

const notRun = (reason: string): OrderOutcome => ({kind: 'not-run', reason});

const isFirstAttempt = ({order, hasSeenOtherAttempt}: OrderAttempt): boolean => order.attempt === 1 && !hasSeenOtherAttempt;

/**
 * Creates the function that handles one attempt.
 *
 * @param options - Table, background writer, clocks and limits.
 * @returns A function that runs an attempt and resolves to its outcome; a failed dispatch does not make it reject.
 */
export const createOrderFlow = ({table, outcomes, keptAnswers, limits, clock, wallClock, log, createToken, waitForChange, withTimeout}: OrderFlowOptions) => {
	const release = ({rowKey, revision, row}: OwnClaim, reason: string): void => {
		outcomes.write({rowKey, revision, row: {...rowBase(row), state: 'released', reason}});
	};

	const prepareAnswer = async ({rowKey, revision, row}: OwnClaim, answer: KeptAnswer): Promise<Outcome> => ({
		rowKey, revision, row: {...rowBase(row), state: 'done', kept: await keptAnswers.keep(row.token, answer)},
	});

	const recordInDoubt = ({rowKey, revision, row}: OwnClaim, reason: string): void => {
		log(ordersEvents.orderInDoubt, {row: rowKey, reason});
		outcomes.write({rowKey, revision, row: {...rowBase(row), state: 'claimed', inDoubt: reason}});
	};

	const dispatchSafely = async (order: Order): Promise<DispatchOutcome> => {
		try {
			return await order.dispatch();
		} catch (error) {
			return {kind: 'in-doubt', reason: `the dispatch failed: ${String(error)}`};
		}
	};

	const dispatchOnce = async (order: Order, claim: OwnClaim): Promise<OrderOutcome> => {
		const lateMs = Math.round(clock() - claim.dispatchBeforeMs);
		if (lateMs >= 0) {
			log(ordersEvents.dispatchRefused, {row: claim.rowKey, lateMs});
			release(claim, 'held up past its bound');
			return notRun(`held up before its dispatch until ${lateMs} ms past the bound`);
		}

		const outcome = await dispatchSafely(order);
		switch (outcome.kind) {
			case 'answered': {
				outcomes.writeWhenReady(prepareAnswer(claim, outcome.answer));
				return outcome;
			}

			case 'not-run': {
				release(claim, outcome.reason);
				return outcome;
			}

			case 'in-doubt': {
				recordInDoubt(claim, outcome.reason);
				return inDoubt(order, outcome.reason);
			}
		}
	};

	const createOwnClaim = ({order, rowKey, row, arrivedAtMs}: OrderAttempt, revision: number, startedAtMs: number): OwnClaim => ({
		rowKey, revision, row, dispatchBeforeMs: Math.min(startedAtMs + limits.dispatchBoundMs, arrivedAtMs + order.remainingMs),
	});

	/** Handles a failed table call. Only if this is the caller's first attempt is it certain that no earlier one has run. */
	const handleUnavailableTable = async (attempt: OrderAttempt, claim: OwnClaim, {mayTakeEffect, detail}: ClaimOutcome & {kind: 'unavailable'}): Promise<OrderOutcome> => {
		const {order} = attempt;
		const isFirst = isFirstAttempt(attempt);
		log(ordersEvents.claimUnavailable, {row: claim.rowKey, detail, attempt: order.attempt});
		if (isFirst && claim.revision === 0 && order.claimOutage === 'firstAttempt') {
			log(ordersEvents.dispatchUnclaimed, {row: claim.rowKey});
			return dispatchOnce(order, claim);
		}

		if (mayTakeEffect) {
			release(claim, 'the reply to its claim was lost');
		}

		return isFirst
			? notRun(`the claim could not be made: ${detail}`)
			: inDoubt(order, `the claim could not be made, and an earlier attempt may have run: ${detail}`);
	};

	/** Releases a claim that was acquired after its attempt was answered. */
	const releaseLateClaim = async (attempt: OrderAttempt, pendingClaim: Promise<ClaimOutcome>): Promise<void> => {
		const outcome = await pendingClaim;
		if (outcome.kind === 'held' || (outcome.kind === 'unavailable' && outcome.mayTakeEffect)) {
			release(createOwnClaim(attempt, outcome.revision, 0), 'the claim came too late');
		}
	};

	/** Resolves to `undefined` if the table does not answer before the caller must be answered. */
	const claimBeforeDeadline = async (attempt: OrderAttempt): Promise<ClaimOutcome | undefined> => {
		const {order, rowKey, row, answerDeadlineMs} = attempt;
		const pendingClaim = takeClaim(table, {
			rowKey,
			order,
			row,
			// If first attempts may run without a claim during outages, a missing row does not prove that none ran.
			mayCreateRow: order.claimOutage === 'refuse' || (order.attempt ?? 1) === 1,
			isRowExpected: attempt.hasSeenOtherAttempt,
			maximumTries: limits.claimTries,
		});
		const outcome = await withTimeout(pendingClaim, answerDeadlineMs - clock());
		if (outcome === undefined) {
			void releaseLateClaim(attempt, pendingClaim);
		}

		return outcome;
	};

	const replay = async (order: Order, row: OrderRow & {state: 'done'}): Promise<OrderOutcome> => {
		const answer = await keptAnswers.restore(row.kept);
		return answer === undefined
			? inDoubt(order, 'the request has run, but its answer is not at hand')
			: {kind: 'replayed', answer};
	};

	const handleClaimTimeout = (attempt: OrderAttempt): OrderOutcome => {
		const {order, rowKey} = attempt;
		const detail = 'the table did not answer in time';
		log(ordersEvents.claimUnavailable, {row: rowKey, detail, attempt: order.attempt});
		return isFirstAttempt(attempt) ? notRun(detail) : inDoubt(order, `${detail}, and an earlier attempt may have run`);
	};

	/** Returns the outcome of the attempt, or `undefined` if another attempt holds the claim and may still finish. */
	const handleClaimOutcome = async (attempt: OrderAttempt, outcome: ClaimOutcome, startedAtMs: number): Promise<OrderOutcome | undefined> => {
		const {order} = attempt;
		switch (outcome.kind) {
			case 'held': {
				return dispatchOnce(order, createOwnClaim(attempt, outcome.revision, startedAtMs));
			}

			case 'done': {
				return replay(order, outcome.row);
			}

			case 'different': {
				return {kind: 'key-conflict', reason: `key "${order.key}" stands for another request; use a new key for a new request`};
			}

			case 'superseded': {
				return notRun('a later attempt under this key was refused as not run');
			}

			case 'absent': {
				return inDoubt(order, 'no claim is known, and the first attempt may have run without one');
			}

			case 'unavailable': {
				return handleUnavailableTable(attempt, createOwnClaim(attempt, outcome.revision, startedAtMs), outcome);
			}

			case 'busy': {
				return outcome.inDoubt === undefined ? undefined : inDoubt(order, outcome.inDoubt);
			}
		}
	};

	return async (order: Order): Promise<OrderOutcome> => {
		const arrivedAtMs = clock();
		const attempt: OrderAttempt = {
			order,
			rowKey: orderRowKey(order.service, order.tenant, order.key),
			row: claimedRow(order, createToken(), wallClock()),
			arrivedAtMs,
			answerDeadlineMs: arrivedAtMs + Math.max(0, order.remainingMs - limits.answerReserveMs),
			hasSeenOtherAttempt: false,
		};
		const waitEndsAtMs = Math.min(arrivedAtMs + limits.waitLimitMs, attempt.answerDeadlineMs);
		let pollMs = limits.firstPollMs;
		for (;;) {
			const startedAtMs = clock();
			const claim = await claimBeforeDeadline(attempt); // eslint-disable-line no-await-in-loop -- polls until the attempt that holds the claim finishes
			const outcome = claim === undefined ? handleClaimTimeout(attempt) : await handleClaimOutcome(attempt, claim, startedAtMs); // eslint-disable-line no-await-in-loop -- polls until the attempt that holds the claim finishes
			if (outcome !== undefined) {
				return outcome;
			}

			attempt.hasSeenOtherAttempt = true;
			const remainingMs = waitEndsAtMs - clock();
			if (remainingMs <= 0) {
				return inDoubt(order, 'another attempt holds the claim and has not finished');
			}

			await waitForChange(attempt.rowKey, Math.min(pollMs, remainingMs)); // eslint-disable-line no-await-in-loop -- polls until the attempt that holds the claim finishes
			if (order.isAbandoned()) {
				return inDoubt(order, 'another attempt holds the claim, and the caller has left');
			}

			pollMs = Math.min(limits.maximumPollMs, pollMs * 2);
		}
	};
};
