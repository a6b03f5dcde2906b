/**
 * First step of the claim protocol: acquires the claim on a request's row, or determines why it cannot.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Result} from 'neverthrow';
import type {OrderRow, StoredOrder} from './orderRow.js';
import type {Order} from './orders.js';
import type {OrderTable, WriteOutcome} from './orderTable.js';

/**
 * Result of trying to acquire a claim.
 * `held`: this attempt holds the claim. `busy`: another attempt holds it. `done`: the request has
 * run. `superseded`: a later attempt was answered `not-run`, so this one must not run any more.
 * `different`: the key belongs to a different request. `absent`: there is no row, and the attempt
 * must not create one. `unavailable`: a table call failed; `mayTakeEffect` tells whether a write of this
 * attempt may still replace the row of that revision.
 */
export type ClaimOutcome =
	| {readonly kind: 'held'; readonly revision: number}
	| {readonly kind: 'busy'; readonly inDoubt: string | undefined}
	| {readonly kind: 'done'; readonly row: OrderRow & {readonly state: 'done'}}
	| {readonly kind: 'superseded'}
	| {readonly kind: 'different'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'unavailable'; readonly mayTakeEffect: boolean; readonly revision: number; readonly detail: string};

/** An attempt to acquire the claim. */
export type ClaimRequest = {
	readonly rowKey: string;
	readonly order: Order;
	/** The row to write. Its token is unique to this attempt, so that a claim whose reply was lost is recognized. */
	readonly row: OrderRow;
	/** Whether the attempt may create the row if there is none. */
	readonly mayCreateRow: boolean;
	/** Whether a row probably exists, in which case a read costs less than a failed write. */
	readonly isRowExpected: boolean;
	/** Maximum number of writes. */
	readonly maximumTries: number;
};

/** State of the claim as an attempt sees it; `free`: the row may be claimed at this revision. */
type ClaimState = Exclude<ClaimOutcome, {readonly kind: 'absent' | 'unavailable'}> | {readonly kind: 'free'; readonly revision: number};

/**
 * Only a later attempt may claim a released row. An earlier attempt that was delayed would run
 * although its caller had already been told that the request did not run.
 */
const mayReclaim = (order: Order, row: OrderRow): boolean => order.attempt === undefined || row.attempt === 0 || order.attempt > row.attempt;

const evaluateRow = ({order, row: ownRow}: ClaimRequest, {row, revision}: StoredOrder): ClaimState => {
	if (row.token === ownRow.token && row.state === 'claimed') {
		return {kind: 'held', revision};
	}

	if (row.state === 'damaged') {
		return {kind: 'busy', inDoubt: 'the record of an earlier attempt under this key is damaged'};
	}

	if (row.fingerprint !== order.fingerprint) {
		return {kind: 'different'};
	}

	switch (row.state) {
		case 'done': {
			return {kind: 'done', row};
		}

		case 'claimed': {
			return {kind: 'busy', inDoubt: row.inDoubt};
		}

		case 'released': {
			return mayReclaim(order, row) ? {kind: 'free', revision} : {kind: 'superseded'};
		}
	}
};

const evaluateWrite = (request: ClaimRequest, outcome: WriteOutcome): ClaimState => {
	if (outcome.kind === 'written') {
		return {kind: 'held', revision: outcome.revision};
	}

	return outcome.current === undefined ? {kind: 'free', revision: 0} : evaluateRow(request, outcome.current);
};

/** Reads the row first if it probably exists or must not be created; otherwise the write comes first. */
const readInitialState = async (table: OrderTable, request: ClaimRequest): Promise<ClaimOutcome | {readonly kind: 'free'; readonly revision: number}> => {
	if (request.mayCreateRow && !request.isRowExpected) {
		return {kind: 'free', revision: 0};
	}

	const read = await table.read(request.rowKey);
	if (read.isErr()) {
		return {
			kind: 'unavailable', mayTakeEffect: false, revision: 0, detail: read.error.detail,
		};
	}

	if (read.value !== undefined) {
		return evaluateRow(request, read.value);
	}

	return request.mayCreateRow ? {kind: 'free', revision: 0} : {kind: 'absent'};
};

/**
 * Tries to acquire the claim. A write whose reply was lost is repeated with the same token: if the
 * first write took effect, the conflict returns a row with this attempt's token.
 *
 * @param table - Reads and writes rows.
 * @param request - The attempt.
 * @returns Whether the attempt holds the claim, or why it does not.
 */
export const takeClaim = async (table: OrderTable, request: ClaimRequest): Promise<ClaimOutcome> => {
	const {rowKey, row, maximumTries} = request;
	let claimState = await readInitialState(table, request);
	let mayTakeEffect = false;
	let detail = '';
	for (let attempt = 0; attempt < maximumTries; attempt += 1) {
		if (claimState.kind !== 'free') {
			return claimState;
		}

		const written: Result<WriteOutcome, PlatformError> = await table.write(rowKey, claimState.revision, row); // eslint-disable-line no-await-in-loop -- each try depends on the previous one
		if (written.isOk()) {
			claimState = evaluateWrite(request, written.value);
			continue;
		}

		detail = written.error.detail;
		mayTakeEffect ||= written.error.kind === 'unknown';
		if (written.error.kind !== 'unknown') {
			break;
		}
	}

	return claimState.kind === 'free'
		? {
			kind: 'unavailable', mayTakeEffect, revision: claimState.revision, detail,
		}
		: claimState;
};
