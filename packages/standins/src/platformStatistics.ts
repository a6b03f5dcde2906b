/**
 * Counts the calls that reach the platform stand-in, and the bytes of their bodies.
 */
import type {CallAccess} from '@filbertwell/platform/faultPlan';

/** Calls since the stand-in started. */
export type PlatformStatistics = {
	readonly reads: number;
	readonly writes: number;
	/** Number of calls by operation, such as `table.read`. */
	readonly operations: Readonly<Record<string, number>>;
	/** Bytes in request bodies of calls that no injected fault made fail. */
	readonly bytesReceived: number;
	/** Bytes in response bodies of the same calls. */
	readonly bytesSent: number;
};

/** Counts calls and bytes from zero. */
export type StatisticsCounter = {
	readonly count: (operation: string, access: CallAccess) => void;
	readonly countBytes: (received: number, sent: number) => void;
	readonly read: () => PlatformStatistics;
};

/**
 * Creates a counter with all counts at zero.
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
