/**
 * Messages between the experiment `control-cost` and the processes that it starts.
 */

/** What a process is asked for. `heap` collects garbage first. */
export type ControlCommand = 'usage' | 'heap' | 'stop';

/** What the members of a process have used since their start, all together. */
export type ControlUsage = {
	readonly cpuMs: number;
	readonly datagramBytes: number;
	readonly datagrams: number;
	readonly rpcBytes: number;
	/** Fewest serving members that any of them knows. */
	readonly knownMembers: number;
	/** Lowest version in force at any of them. */
	readonly version: number;
	/** Heap beyond that before the start; 0 if not asked for. */
	readonly heapBytes: number;
	readonly rssBytes: number;
};
