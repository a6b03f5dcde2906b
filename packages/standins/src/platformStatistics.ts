/**
 * Counts the calls that reach the platform's stand-in.
 */
import type {CallAccess} from '@filbertwell/platform/faultPlan';

/** Calls since the start. */
export type PlatformStatistics = {
	readonly reads: number;
	readonly writes: number;
	/** Calls by operation, as `table.read`. */
	readonly operations: Readonly<Record<string, number>>;
	/** Bytes of request bodies. */
	readonly bytesReceived: number;
	/** Bytes of answers' bodies. */
	readonly bytesSent: number;
};

/** Counter of calls. */
export type StatisticsCounter = {
	readonly count: (operation: string, access: CallAccess) => void;
	readonly countBytes: (received: number, sent: number) => void;
	readonly read: () => PlatformStatistics;
};

/**
 * Creates a counter at zero.
 *
 * @returns The counter.
 */
export const createStatisticsCounter = (): StatisticsCounter => {
	const operations = new Map<string, number>();
	const accesses = {read: 0, write: 0};
	let bytesReceived = 0;
	let bytesSent = 0;
	return {
		count(operation, access) {
			accesses[access] += 1;
			operations.set(operation, (operations.get(operation) ?? 0) + 1);
		},
		countBytes(received, sent) {
			bytesReceived += received;
			bytesSent += sent;
		},
		read: () => ({
			reads: accesses.read, writes: accesses.write, operations: Object.fromEntries(operations), bytesReceived, bytesSent,
		}),
	};
};
