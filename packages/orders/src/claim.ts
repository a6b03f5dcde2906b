/**
 * The first step of the claim protocol: taking the claim, or learning why it cannot be taken.
 */
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Result} from 'neverthrow';
import type {OrderRow, StoredOrder} from './orderRow.js';
import type {Order} from './orders.js';
import type {OrderTable, WriteOutcome} from './orderTable.js';

/**
 * What came of a claim.
 * `held`: this attempt holds it. `busy`: another attempt does. `done`: the request has run.
 * `superseded`: a later attempt was refused as not run, so this one must not run any more.
 * `different`: the key stands for another request. `absent`: there is no row, and none was to
 * be made. `unavailable`: the table did not answer; `mayLand` tells whether a claim of ours
 * may still replace the row of that revision.
 */
export type ClaimOutcome =
	| {readonly kind: 'held'; readonly revision: number}
	| {readonly kind: 'busy'; readonly inDoubt: string | undefined}
	| {readonly kind: 'done'; readonly row: OrderRow & {readonly state: 'done'}}
	| {readonly kind: 'superseded'}
	| {readonly kind: 'different'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'unavailable'; readonly mayLand: boolean; readonly revision: number; readonly detail: string};

/** An attempt that wants the claim. */
export type ClaimRequest = {
	readonly rowKey: string;
	readonly order: Order;
	/** The row to claim with. Its token is unique to this attempt, so that a claim whose reply was lost is recognised. */
	readonly row: OrderRow;
	/** Whether a claim may be made where there is no row. */
	readonly claimAbsent: boolean;
	/** Whether a row is expected, so that a read is cheaper than a write that fails. */
	readonly expectRow: boolean;
	/** Writes at most. */
	readonly tries: number;
};

/** What a row that is there means for an attempt; `free` at a revision that may be claimed. */
type Standing = Exclude<ClaimOutcome, {readonly kind: 'absent' | 'unavailable'}> | {readonly kind: 'free'; readonly revision: number};

/**
 * A released row may be claimed by a later attempt only: an earlier one that was held up
 * would run after its caller was told that the request did not run.
 */
const maySucceed = (order: Order, row: OrderRow): boolean => order.attempt === undefined || row.attempt === 0 || order.attempt > row.attempt;

const standingOf = ({order, row: own}: ClaimRequest, {row, revision}: StoredOrder): Standing => {
	if (row.token === own.token && row.state === 'claimed') {
		return {kind: 'held', revision};
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
			return maySucceed(order, row) ? {kind: 'free', revision} : {kind: 'superseded'};
		}
	}
};

const standingOfWrite = (request: ClaimRequest, outcome: WriteOutcome): Standing => {
	if (outcome.kind === 'written') {
		return {kind: 'held', revision: outcome.revision};
	}

	return outcome.current === undefined ? {kind: 'free', revision: 0} : standingOf(request, outcome.current);
};

/** Reads first where a row is expected or an absent one must not be claimed. */
const findStart = async (table: OrderTable, request: ClaimRequest): Promise<ClaimOutcome | {readonly kind: 'free'; readonly revision: number}> => {
	if (request.claimAbsent && !request.expectRow) {
		return {kind: 'free', revision: 0};
	}

	const read = await table.read(request.rowKey);
	if (read.isErr()) {
		return {
			kind: 'unavailable', mayLand: false, revision: 0, detail: read.error.detail,
		};
	}

	if (read.value !== undefined) {
		return standingOf(request, read.value);
	}

	return request.claimAbsent ? {kind: 'free', revision: 0} : {kind: 'absent'};
};

/**
 * Tries to take the claim. A write whose reply was lost is repeated with the same token: if the
 * first one took effect, the conflict shows our own token.
 *
 * @param table - The table's calls.
 * @param request - The attempt.
 * @returns What came of it.
 */
export const takeClaim = async (table: OrderTable, request: ClaimRequest): Promise<ClaimOutcome> => {
	const {rowKey, row, tries} = request;
	let standing = await findStart(table, request);
	let mayLand = false;
	let detail = '';
	for (let attempt = 0; attempt < tries; attempt += 1) {
		if (standing.kind !== 'free') {
			return standing;
		}

		const written: Result<WriteOutcome, PlatformError> = await table.write(rowKey, standing.revision, row); // eslint-disable-line no-await-in-loop -- each try depends on the last
		if (written.isOk()) {
			standing = standingOfWrite(request, written.value);
			continue;
		}

		detail = written.error.detail;
		mayLand ||= written.error.kind === 'unknown';
		if (written.error.kind !== 'unknown') {
			break;
		}
	}

	return standing.kind === 'free'
		? {
			kind: 'unavailable', mayLand, revision: standing.revision, detail,
		}
		: standing;
};
