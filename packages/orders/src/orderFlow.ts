/**
 * One attempt of an at-most-once request, from claim to answer.
 *
 * Only the attempt that holds the claim dispatches, once, and only within a bound on its own
 * monotonic clock. A claim is never taken over. Without the claim the answer is a kept one,
 * `in-doubt`, or `not-run` where no attempt up to this one has run or can still run.
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

/** Parameters of the flow. */
export type OrderFlowOptions = {
	readonly table: OrderTable;
	readonly outcomes: OutcomeWriter;
	readonly kept: KeptAnswers;
	readonly limits: OrderLimits;
	readonly clock: Clock;
	/** Wall-clock milliseconds, for retention alone. */
	readonly wallClock: () => number;
	readonly log: Logger;
	readonly createToken: () => string;
	/** Waits for a change of a row that another attempt has claimed, at most some milliseconds. */
	readonly waitForChange: (rowKey: string, milliseconds: number) => Promise<void>;
	/** Settles with the promise, or with `undefined` after some milliseconds. */
	readonly withinTime: <Value>(promise: Promise<Value>, milliseconds: number) => Promise<Value | undefined>;
};

/** One attempt on its way through the protocol. */
type OrderAttempt = {
	readonly order: Order;
	readonly rowKey: string;
	/** The row that this attempt claims with. */
	readonly row: OrderRow;
	readonly arrivedAtMs: number;
	readonly answerByMs: number;
	/** Whether another attempt's row has been seen; a first attempt has then nothing to presume. */
	sawOther: boolean;
};

/** A claim of this attempt, whether it is known to have landed or not. */
type OwnClaim = {
	readonly rowKey: string;
	readonly revision: number;
	readonly row: OrderRow;
	/** The request is not dispatched at this time or later. */
	readonly dispatchBeforeMs: number;
};

const placeToAsk = (order: Order): string => `ask GET /orders?service=${encodeURIComponent(order.service)}&key=${encodeURIComponent(order.key)}`;

const inDoubt = (order: Order, reason: string): OrderOutcome => ({kind: 'in-doubt', reason: `${reason}; ${placeToAsk(order)}`});

const notRun = (reason: string): OrderOutcome => ({kind: 'not-run', reason});

const isFirstAttempt = ({order, sawOther}: OrderAttempt): boolean => order.attempt === 1 && !sawOther;

/**
 * Creates the function that takes one attempt through the protocol.
 *
 * @param options - Table, background writer, clocks and limits.
 * @returns The function; it never throws.
 */
export const createOrderFlow = ({table, outcomes, kept, limits, clock, wallClock, log, createToken, waitForChange, withinTime}: OrderFlowOptions) => {
	const release = ({rowKey, revision, row}: OwnClaim, reason: string): void => {
		outcomes.write({rowKey, revision, row: {...rowBase(row), state: 'released', reason}});
	};

	const prepareAnswer = async ({rowKey, revision, row}: OwnClaim, answer: KeptAnswer): Promise<Outcome> => ({
		rowKey, revision, row: {...rowBase(row), state: 'done', kept: await kept.keep(row.token, answer)},
	});

	const recordDoubt = ({rowKey, revision, row}: OwnClaim, reason: string): void => {
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
				outcomes.writePrepared(prepareAnswer(claim, outcome.answer));
				return outcome;
			}

			case 'not-run': {
				release(claim, outcome.reason);
				return outcome;
			}

			case 'in-doubt': {
				recordDoubt(claim, outcome.reason);
				return inDoubt(order, outcome.reason);
			}
		}
	};

	const ownClaim = ({order, rowKey, row, arrivedAtMs}: OrderAttempt, revision: number, startedAtMs: number): OwnClaim => ({
		rowKey, revision, row, dispatchBeforeMs: Math.min(startedAtMs + limits.dispatchBoundMs, arrivedAtMs + order.remainingMs),
	});

	/** The table did not answer: only a caller's first attempt has no earlier one that may have run. */
	const withoutTable = async (attempt: OrderAttempt, claim: OwnClaim, {mayLand, detail}: ClaimOutcome & {kind: 'unavailable'}): Promise<OrderOutcome> => {
		const {order} = attempt;
		const isFirst = isFirstAttempt(attempt);
		log(ordersEvents.claimUnavailable, {row: claim.rowKey, detail, attempt: order.attempt});
		if (isFirst && claim.revision === 0 && order.claimOutage === 'firstAttempt') {
			log(ordersEvents.dispatchUnclaimed, {row: claim.rowKey});
			return dispatchOnce(order, claim);
		}

		if (mayLand) {
			release(claim, 'the reply to its claim was lost');
		}

		return isFirst
			? notRun(`the claim could not be made: ${detail}`)
			: inDoubt(order, `the claim could not be made, and an earlier attempt may have run: ${detail}`);
	};

	/** A claim that comes after its attempt was answered is given up. */
	const releaseLate = async (attempt: OrderAttempt, claiming: Promise<ClaimOutcome>): Promise<void> => {
		const outcome = await claiming;
		if (outcome.kind === 'held' || (outcome.kind === 'unavailable' && outcome.mayLand)) {
			release(ownClaim(attempt, outcome.revision, 0), 'the claim came too late');
		}
	};

	/** Returns `undefined` where the table does not answer before the caller must be. */
	const claimInTime = async (attempt: OrderAttempt): Promise<ClaimOutcome | undefined> => {
		const {order, rowKey, row, answerByMs} = attempt;
		const claiming = takeClaim(table, {
			rowKey,
			order,
			row,
			// Where first attempts run unclaimed during outages, an absent row proves nothing to a resend.
			claimAbsent: order.claimOutage === 'refuse' || (order.attempt ?? 1) === 1,
			expectRow: attempt.sawOther,
			tries: limits.claimTries,
		});
		const outcome = await withinTime(claiming, answerByMs - clock());
		if (outcome === undefined) {
			void releaseLate(attempt, claiming);
		}

		return outcome;
	};

	const replay = async (order: Order, row: OrderRow & {state: 'done'}): Promise<OrderOutcome> => {
		const answer = await kept.restore(row.kept);
		return answer === undefined
			? inDoubt(order, 'the request has run, but its answer is not at hand')
			: {kind: 'replayed', answer};
	};

	const tooLate = (attempt: OrderAttempt): OrderOutcome => {
		const {order, rowKey} = attempt;
		const detail = 'the table did not answer in time';
		log(ordersEvents.claimUnavailable, {row: rowKey, detail, attempt: order.attempt});
		return isFirstAttempt(attempt) ? notRun(detail) : inDoubt(order, `${detail}, and an earlier attempt may have run`);
	};

	/** Ends an attempt, or returns `undefined` while another one holds the claim and there is time to wait. */
	const conclude = async (attempt: OrderAttempt, outcome: ClaimOutcome, startedAtMs: number): Promise<OrderOutcome | undefined> => {
		const {order} = attempt;
		switch (outcome.kind) {
			case 'held': {
				return dispatchOnce(order, ownClaim(attempt, outcome.revision, startedAtMs));
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
				return withoutTable(attempt, ownClaim(attempt, outcome.revision, startedAtMs), outcome);
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
			answerByMs: arrivedAtMs + Math.max(0, order.remainingMs - limits.answerReserveMs),
			sawOther: false,
		};
		const waitEndsAtMs = Math.min(arrivedAtMs + limits.waitLimitMs, attempt.answerByMs);
		let pollMs = limits.firstPollMs;
		for (;;) {
			const startedAtMs = clock();
			const claim = await claimInTime(attempt); // eslint-disable-line no-await-in-loop -- waits for the attempt that holds the claim
			const outcome = claim === undefined ? tooLate(attempt) : await conclude(attempt, claim, startedAtMs); // eslint-disable-line no-await-in-loop -- waits for the attempt that holds the claim
			if (outcome !== undefined) {
				return outcome;
			}

			attempt.sawOther = true;
			const remainingMs = waitEndsAtMs - clock();
			if (remainingMs <= 0) {
				return inDoubt(order, 'another attempt holds the claim and has not finished');
			}

			await waitForChange(attempt.rowKey, Math.min(pollMs, remainingMs)); // eslint-disable-line no-await-in-loop -- waits for the attempt that holds the claim
			pollMs = Math.min(limits.maximumPollMs, pollMs * 2);
		}
	};
};
