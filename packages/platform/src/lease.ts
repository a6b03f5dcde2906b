/**
 * A lease for work that only one process may do at a time. Each transaction of the holder includes a
 * check, the fence, that fails once another process has acquired the lease. A holder that was paused
 * without noticing therefore cannot change anything.
 */
import {randomUUID} from 'node:crypto';
import {platformEvents} from '@filbertwell/logger/events/platformEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Clock} from '@filbertwell/utils/clock';
import * as z from 'zod';
import type {Row, RowCheck, Table} from './table.js';

export type LeaseOptions = {
	readonly table: Table;
	/** Name of the lease, part of its row keys. */
	readonly name: string;
	/** Identity of this process, written into the lease's row. */
	readonly holder: string;
	/** Time without a renewal after which another process may acquire the lease, in milliseconds. */
	readonly termMs: number;
	readonly clock: Clock;
	readonly log: Logger;
	/** Creates a unique token; a random UUID by default. */
	readonly createToken?: (() => string) | undefined;
};

/** `held`: this process holds the lease. `watching`: another process holds it or may hold it. `unavailable`: a table call failed. */
export type LeaseState = 'held' | 'watching' | 'unavailable';

/** A lease from the point of view of one process. */
export type Lease = {
	/** Acquires, renews or observes the lease once. Call it about three times per term. */
	readonly acquireOrRenew: () => Promise<LeaseState>;
	/** Check to include in each transaction of the holder; `undefined` if the lease is not held or was not renewed for a term. */
	readonly fence: () => RowCheck | undefined;
	/** Releases the lease, so that another process can acquire it immediately. */
	readonly release: () => Promise<void>;
};

const holderSchema = z.object({holder: z.string(), token: z.string()});

type HeldLease = {
	readonly token: string;
	readonly revision: number;
	/** Start of the last successful renewal. */
	readonly renewedAt: number;
};

type LeaseRows = {
	readonly holderRevision: number;
	readonly renewalRevision: number;
	/** Token of the holder; empty if the lease is free or its row cannot be parsed. */
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
 * Creates a lease for this process. The lease is not acquired before the first attempt.
 *
 * @param options - Table, names, term and clock.
 * @returns The lease.
 */
export const createLease = ({table, name, holder, termMs, clock, log, createToken = randomUUID}: LeaseOptions): Lease => {
	const prefix = `lease/${name}/`;
	const holderKey = `${prefix}holder`;
	// Renewals are written to a separate row, so that they do not change the revision that the fence checks.
	const renewalKey = `${prefix}renewal`;

	let held: HeldLease | undefined;
	/** Token of the last acquisition, whose outcome may be unknown. */
	let pendingToken: string | undefined;
	let lastSeenState = '';
	let lastChangeSeenAt = 0;
	let renewalCount = 0;

	const readRows = async (): Promise<LeaseRows | undefined> => {
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

	const createRenewalWrite = (token: string) => {
		renewalCount += 1;
		return {key: renewalKey, value: JSON.stringify({token, renewals: renewalCount})};
	};

	const markLost = () => {
		if (held !== undefined) {
			log(platformEvents.leaseLost, {lease: name, holder});
			held = undefined;
		}
	};

	const renew = async (token: string, revision: number, startedAt: number): Promise<LeaseState> => {
		const result = await table.transact({checks: [{key: holderKey, revision}], writes: [createRenewalWrite(token)]});
		if (result.isErr()) {
			return 'unavailable';
		}

		if (result.value.kind === 'conflict') {
			markLost();
			return 'watching';
		}

		held = {token, revision, renewedAt: startedAt};
		return 'held';
	};

	const acquire = async (rows: LeaseRows, startedAt: number): Promise<LeaseState> => {
		const token = createToken();
		pendingToken = token;
		const result = await table.transact({
			checks: [{key: holderKey, revision: rows.holderRevision}, {key: renewalKey, revision: rows.renewalRevision}],
			writes: [{key: holderKey, value: JSON.stringify({holder, token})}, createRenewalWrite(token)],
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

	/** Whether this process has seen no renewal for a whole term by its own clock. */
	const hasExpired = (rows: LeaseRows, readStartedAt: number): boolean => {
		const state = `${rows.holderRevision} ${rows.renewalRevision}`;
		if (state !== lastSeenState) {
			lastSeenState = state;
			lastChangeSeenAt = clock();
			return false;
		}

		return readStartedAt - lastChangeSeenAt >= termMs;
	};

	return {
		async acquireOrRenew() {
			const startedAt = clock();
			const rows = await readRows();
			if (rows === undefined) {
				return 'unavailable';
			}

			const isOwnLease = rows.token !== '' && (rows.token === held?.token || rows.token === pendingToken);
			if (isOwnLease) {
				return renew(rows.token, rows.holderRevision, startedAt);
			}

			markLost();
			const isFree = rows.token === '';
			return hasExpired(rows, startedAt) || isFree ? acquire(rows, clock()) : 'watching';
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
