/**
 * A lease for work that one process at a time does. Each transaction of the holder carries a check
 * (the fence) that fails once another process has taken the lease over, so that a holder that was
 * paused and does not know it changes nothing.
 */
import {randomUUID} from 'node:crypto';
import {platformEvents} from '@filbertwell/logger/events/platformEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Clock} from '@filbertwell/utils/clock';
import {z} from 'zod';
import type {Row, RowCheck, Table} from './table.js';

/** Parameters of a lease. */
export type LeaseOptions = {
	readonly table: Table;
	/** Name of the work. */
	readonly name: string;
	/** Id of this process. */
	readonly holder: string;
	/** Time without a renewal after which another process may take the lease, in milliseconds. */
	readonly termMs: number;
	readonly clock: Clock;
	readonly log: Logger;
	/** Makes a token that no one else has. */
	readonly createToken?: (() => string) | undefined;
};

/** `held`: by this process. `watching`: by another. `unavailable`: the table did not say. */
export type LeaseState = 'held' | 'watching' | 'unavailable';

/** One process's view of a lease. */
export type Lease = {
	/** Takes, renews or watches the lease once; to be called about three times a term. */
	readonly attempt: () => Promise<LeaseState>;
	/** Check for each transaction of the holder; `undefined` while this process must not act. */
	readonly fence: () => RowCheck | undefined;
	/** Gives the lease up, so that another process can take it at once. */
	readonly release: () => Promise<void>;
};

const holderSchema = z.object({holder: z.string(), token: z.string()});

type Held = {
	readonly token: string;
	readonly revision: number;
	/** Start of the last renewal that succeeded. */
	readonly renewedAt: number;
};

type Rows = {
	readonly holderRevision: number;
	readonly renewalRevision: number;
	/** Token of the holder; empty if the lease is free. */
	readonly token: string;
};

const parseToken = (row: Row | undefined): string => {
	try {
		const parsed = holderSchema.safeParse(JSON.parse(row?.value ?? '{}'));
		return parsed.success ? parsed.data.token : '';
	} catch {
		return '';
	}
};

/**
 * Creates this process's view of a lease. Nothing is taken before the first attempt.
 *
 * @param options - Table, names, term and clock.
 * @returns The lease.
 */
export const createLease = ({table, name, holder, termMs, clock, log, createToken = randomUUID}: LeaseOptions): Lease => {
	const prefix = `lease/${name}/`;
	const holderKey = `${prefix}holder`;
	// Renewals have a row of their own, so that they do not disturb the fence.
	const renewalKey = `${prefix}renewal`;

	let held: Held | undefined;
	/** Token of a takeover whose outcome is unknown. */
	let pendingToken: string | undefined;
	let seen = '';
	let seenAt = 0;
	let renewals = 0;

	const read = async (): Promise<Rows | undefined> => {
		const found = await table.scan({prefix, after: '', limit: 2});
		if (found.isErr()) {
			return undefined;
		}

		const holderRow = found.value.find(row => row.key === holderKey);
		const renewalRow = found.value.find(row => row.key === renewalKey);
		return {
			holderRevision: holderRow?.revision ?? 0,
			renewalRevision: renewalRow?.revision ?? 0,
			token: parseToken(holderRow),
		};
	};

	const renewal = (token: string) => {
		renewals += 1;
		return {key: renewalKey, value: JSON.stringify({token, renewals})};
	};

	const lose = () => {
		if (held !== undefined) {
			log(platformEvents.leaseLost, {lease: name, holder});
			held = undefined;
		}
	};

	const renew = async (token: string, revision: number, startedAt: number): Promise<LeaseState> => {
		const result = await table.transact({checks: [{key: holderKey, revision}], writes: [renewal(token)]});
		if (result.isErr()) {
			return 'unavailable';
		}

		if (result.value.kind === 'conflict') {
			lose();
			return 'watching';
		}

		held = {token, revision, renewedAt: startedAt};
		return 'held';
	};

	const take = async (rows: Rows, startedAt: number): Promise<LeaseState> => {
		const token = createToken();
		pendingToken = token;
		const result = await table.transact({
			checks: [{key: holderKey, revision: rows.holderRevision}, {key: renewalKey, revision: rows.renewalRevision}],
			writes: [{key: holderKey, value: JSON.stringify({holder, token})}, renewal(token)],
		});
		if (result.isErr()) {
			return 'unavailable';
		}

		if (result.value.kind === 'conflict') {
			return 'watching';
		}

		const row = result.value.rows.find(written => written.key === holderKey);
		held = {token, revision: row?.revision ?? 0, renewedAt: startedAt};
		log(platformEvents.leaseTaken, {lease: name, holder});
		return 'held';
	};

	/** Whether the holder has not renewed for a whole term of this process's clock. */
	const lapsed = (rows: Rows, readStartedAt: number): boolean => {
		const state = `${rows.holderRevision} ${rows.renewalRevision}`;
		if (state !== seen) {
			seen = state;
			seenAt = clock();
			return false;
		}

		return readStartedAt - seenAt >= termMs;
	};

	return {
		async attempt() {
			const startedAt = clock();
			const rows = await read();
			if (rows === undefined) {
				return 'unavailable';
			}

			const own = rows.token !== '' && (rows.token === held?.token || rows.token === pendingToken);
			if (own) {
				return renew(rows.token, rows.holderRevision, startedAt);
			}

			lose();
			const free = rows.token === '';
			return lapsed(rows, startedAt) || free ? take(rows, clock()) : 'watching';
		},
		fence() {
			return held === undefined || clock() - held.renewedAt >= termMs
				? undefined
				: {key: holderKey, revision: held.revision};
		},
		async release() {
			const current = held;
			held = undefined;
			pendingToken = undefined;
			if (current !== undefined) {
				await table.transact({
					checks: [{key: holderKey, revision: current.revision}],
					writes: [{key: holderKey, value: JSON.stringify({holder: '', token: ''})}],
				});
			}
		},
	};
};
