/**
 * Messages between the experiment `control-cost` and the processes that it starts.
 */

/** Command to a process. `heap` reports the usage after a garbage collection. */
export type ControlCommand = 'usage' | 'heap' | 'stop';

/** Total usage of all members of a process since the process started. */
export type ControlUsage = {
	readonly cpuMs: number;
	readonly datagramBytes: number;
	readonly datagrams: number;
	readonly rpcBytes: number;
	/** Smallest number of live and serving members in any member's view. */
	readonly knownMembers: number;
	/** Lowest configuration version in force at any member; 0 if a member has none. */
	readonly version: number;
	/** Growth of the heap since before the members started, in bytes; 0 in the reply to `usage`. */
	readonly heapBytes: number;
	readonly rssBytes: number;
};
