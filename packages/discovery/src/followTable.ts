/**
 * Keeps a replica of a watched table up to date. It reads the table itself, or a peer while the table does not answer.
 */
import {discoveryEvents} from '@filbertwell/logger/events/discoveryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {Clock} from '@filbertwell/utils/clock';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import {err, ok, type Result} from 'neverthrow';
import {largestRetryJitter} from './readTimes.js';
import type {ReplicaChange, RowReplica} from './rowReplica.js';
import type {VersionedRows, WatchedTable} from './watchedTable.js';

export type FollowTableOptions = {
	/** Name of the table in log entries. */
	readonly name: string;
	readonly table: WatchedTable;
	readonly replica: RowReplica;
	/** Reads the replica of one peer; `undefined` if it does not answer or has nothing newer. */
	readonly readFromPeer: () => Promise<VersionedRows | undefined>;
	/** Whether a peer is known to have newer rows. */
	readonly isBehindPeers: () => boolean;
	/** Called after each change of the replica that changed at least one row. */
	readonly onChange: (change: ReplicaChange) => void;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Stops following when it is aborted. */
	readonly signal: AbortSignal;
	/** Longest time that one read may wait for changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Longest mean interval between the starts of two reads while reads fail, in milliseconds. */
	readonly maximumRetryMs: () => number;
	/** Pause after a successful read, in milliseconds. Changes in quick succession are then read together. */
	readonly pauseMs: number;
};

/** Mean interval between a failed read and the next one; it doubles with each further failure. */
const initialRetryMs = 250;
/** Mean pause after a read that took longer than the interval. */
const minimumPauseMs = 50;
/** Interval between reads from peers while the replica is stale or behind. */
const peerIntervalMs = 250;
/** Time by which an answer of the table may be late before the replica counts as stale. */
const staleToleranceMs = 700;

/**
 * Follows a table until the signal is aborted. Failed reads are logged and repeated.
 *
 * @param options - Table, replica and access to the peers.
 * @returns A promise that resolves after the abort.
 */
export const followTable = async (options: FollowTableOptions): Promise<void> => {
	const {name, table, replica, readFromPeer, isBehindPeers, onChange, clock, random, log, signal, waitMs, maximumRetryMs, pauseMs} = options;
	let isConnected = false;
	let needsFullRead = true;

	const emit = (change: ReplicaChange | undefined) => {
		if (change !== undefined && change.rows.length > 0) {
			onChange(change);
		}
	};

	const updateConnection = (isReachable: boolean, reason: string) => {
		if (isReachable !== isConnected) {
			isConnected = isReachable;
			log(isReachable ? discoveryEvents.tableRegained : discoveryEvents.tableLost, {
				table: name, reason, version: replica.version(), ageMs: Math.round(replica.ageMs()),
			});
		}
	};

	const applyPeerRows = async () => {
		const peerRows = await readFromPeer();
		if (peerRows !== undefined && peerRows.version > (replica.version() ?? -1)) {
			log(discoveryEvents.readFromPeer, {
				table: name, version: peerRows.version, rows: peerRows.rows.length, ageMs: peerRows.ageMs,
			});
			emit(replica.applySnapshot(peerRows));
		}
	};

	/** Reads once; the error describes why the read failed. */
	const readOnce = async (): Promise<Result<void, string>> => {
		const version = replica.version();
		if (needsFullRead || version === undefined) {
			const result = await table.readAll();
			if (result.isErr()) {
				updateConnection(false, result.error.detail);
				return err(result.error.detail);
			}

			updateConnection(true, 'all rows were read');
			const change = replica.applySnapshot(result.value);
			if (change === undefined) {
				// Answers of the store may lag after it has dropped its history.
				log(discoveryEvents.snapshotOutdated, {table: name, version: result.value.version, known: version});
				return err('the rows are outdated');
			}

			needsFullRead = false;
			emit(change);
			// Rows that come from the store itself may lag behind those of the peers.
			if (version === undefined && result.value.ageMs === undefined) {
				await applyPeerRows();
			}

			return ok();
		}

		// While the table does not answer, a read that waits for changes would hide its return for longer.
		const result = await table.readChanges(version, isConnected ? waitMs() : 0);
		if (result.isErr()) {
			updateConnection(false, result.error.detail);
			return err(result.error.detail);
		}

		updateConnection(true, 'changes were read');
		if (result.value === undefined) {
			log(discoveryEvents.historyLost, {table: name, version});
			needsFullRead = true;
			return ok();
		}

		emit(replica.applyChanges(result.value));
		return ok();
	};

	const followPeers = async () => {
		while (await waitUnlessAborted(peerIntervalMs, signal)) { // eslint-disable-line no-await-in-loop
			const isStale = replica.version() === undefined || replica.ageMs() > waitMs() + staleToleranceMs;
			if (isStale || isBehindPeers()) {
				await applyPeerRows(); // eslint-disable-line no-await-in-loop
			}
		}
	};

	const followStore = async () => {
		let retryMs = initialRetryMs;
		while (!signal.aborted) {
			const startedAtMs = clock();
			const result = await readOnce(); // eslint-disable-line no-await-in-loop
			if (result.isOk()) {
				retryMs = initialRetryMs;
				await waitUnlessAborted(pauseMs, signal); // eslint-disable-line no-await-in-loop
				continue;
			}

			const tookMs = clock() - startedAtMs;
			// Jitter prevents all instances from calling a recovered store at the same time.
			const jitter = largestRetryJitter - random();
			const retryPauseMs = Math.max((retryMs * jitter) - tookMs, minimumPauseMs * jitter);
			log(discoveryEvents.readFailed, {
				table: name, reason: result.error, tookMs: Math.round(tookMs), pauseMs: Math.round(retryPauseMs),
			});
			retryMs = Math.min(retryMs * 2, maximumRetryMs());
			await waitUnlessAborted(retryPauseMs, signal); // eslint-disable-line no-await-in-loop
		}
	};

	await Promise.all([followStore(), followPeers()]);
};
