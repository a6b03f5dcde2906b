/**
 * Answers of a process's admin address to operators.
 */
import type {Drain, ShiftCaps} from './intent.js';
import type {Member} from './member.js';
import type {ShiftProgress} from './split.js';

/** The configuration in force at a process, without its intent. */
export type ConfigurationInForce = {
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	readonly acceptedAt: string;
};

/** Body of `GET /state`. */
export type EntryState = {
	readonly self: Member;
	/** All members that the process knows, itself included. */
	readonly members: readonly Member[];
	/** Absent before the first configuration. */
	readonly configuration?: ConfigurationInForce | undefined;
	readonly drains: readonly Drain[];
	readonly shiftCaps?: ShiftCaps | undefined;
	/** Shifts in progress at this process; each process moves its own traffic. */
	readonly shifts: readonly ShiftProgress[];
};

/** A decision on a request's way. */
export type Decision = 'clientBlock' | 'entry' | 'service' | 'route' | 'availabilityZone' | 'endpoint';

/** One decision of an explanation, with what led to it. */
export type ExplanationStep = {
	readonly decision: Decision;
	/** What was chosen, for instance an endpoint's id. */
	readonly choice: string;
	readonly reason: string;
};

/** Body of `GET /explain?service=NAME&address=IP[&path=PATH][&method=METHOD]`: where a request would go and why. */
export type Explanation = {
	/** The process that answers. */
	readonly entry: string;
	readonly configurationVersion: number;
	/** In the order in which they are taken. */
	readonly steps: readonly ExplanationStep[];
};
