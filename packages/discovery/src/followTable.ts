/**
 * Keeps a copy of a watched table up to date: from the table while it answers, else from a peer.
 */
import {discoveryEvents} from '@filbertwell/logger/events/discoveryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';
import type {ReplicaChange, RowReplica} from './rowReplica.js';
import type {TableReading, WatchedTable} from './watchedTable.js';

/** Parameters of a follower. */
export type FollowTableOptions = {
	/** Name of the table, for logs. */
	readonly name: string;
	readonly table: WatchedTable;
	readonly replica: RowReplica;
	/** Asks one peer for its copy; `undefined` where none answers. */
	readonly readFromPeer: () => Promise<TableReading | undefined>;
	readonly onChange: (change: ReplicaChange) => void;
	readonly random: Random;
	readonly log: Logger;
	readonly signal: AbortSignal;
	/** Longest wait of one reading of changes, in milliseconds. */
	readonly waitMs: () => number;
	/** Pause after a reading, so that changes in quick succession come in one reading, in milliseconds. */
	readonly pauseMs: number;
};

/** Pauses after failed readings, doubled each time; with jitter, so that a store that returns is not called by all at once. */
const firstRetryMs = 250;
const longestRetryMs = 1000;
/** Interval at which a copy that is out of date asks a peer. */
const peerIntervalMs = 500;
/** Time by which an answer of the table may be late before peers are asked. */
const latenessMs = 700;

/**
 * Follows a table until the signal is aborted.
 *
 * @param options - Table, copy and peers.
 */
export const followTable = async (options: FollowTableOptions): Promise<void> => {
	const {name, table, replica, readFromPeer, onChange, random, log, signal, waitMs, pauseMs} = options;
	let isConnected = false;
	let mustReadAll = true;

	const emit = (change: ReplicaChange | undefined) => {
		if (change !== undefined && change.rows.length > 0) {
			onChange(change);
		}
	};

	const noteConnection = (connects: boolean, reason: string) => {
		if (connects !== isConnected) {
			isConnected = connects;
			log(connects ? discoveryEvents.tableRegained : discoveryEvents.tableLost, {
				table: name, reason, version: replica.version(), ageMs: Math.round(replica.ageMs()),
			});
		}
	};

	const readOnce = async (): Promise<boolean> => {
		const version = replica.version();
		if (mustReadAll || version === undefined) {
			const reading = await table.readAll();
			if (reading.isErr()) {
				noteConnection(false, reading.error.detail);
				return false;
			}

			mustReadAll = false;
			noteConnection(true, 'all rows were read');
			emit(replica.replace(reading.value));
			return true;
		}

		const reading = await table.readChanges(version, waitMs());
		if (reading.isErr()) {
			noteConnection(false, reading.error.detail);
			return false;
		}

		noteConnection(true, 'changes were read');
		if (reading.value === undefined) {
			log(discoveryEvents.historyLost, {table: name, version});
			mustReadAll = true;
			return true;
		}

		emit(replica.update(reading.value));
		return true;
	};

	const followPeers = async () => {
		while (await waitUnlessAborted(peerIntervalMs, signal)) { // eslint-disable-line no-await-in-loop
			const isLate = replica.version() === undefined || replica.ageMs() > waitMs() + latenessMs;
			const reading = isLate ? await readFromPeer() : undefined; // eslint-disable-line no-await-in-loop
			if (reading !== undefined && reading.version > (replica.version() ?? -1)) {
				log(discoveryEvents.readFromPeer, {table: name, version: reading.version, rows: reading.rows.length});
				emit(replica.replace(reading));
			}
		}
	};

	const followStore = async () => {
		let retryMs = firstRetryMs;
		while (!signal.aborted) {
			const isRead = await readOnce(); // eslint-disable-line no-await-in-loop
			await waitUnlessAborted(isRead ? pauseMs : retryMs * (0.5 + random()), signal); // eslint-disable-line no-await-in-loop
			retryMs = isRead ? firstRetryMs : Math.min(retryMs * 2, longestRetryMs);
		}
	};

	await Promise.all([followStore(), followPeers()]);
};
