/**
 * Response bodies of a process's admin server.
 */
import type {Drain, ShiftCaps} from './intent.js';
import type {Member} from './member.js';
import type {ShiftProgress} from './split.js';

/** Metadata of the configuration in force at a process. */
export type ConfigurationInForce = {
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	readonly acceptedAt: string;
};

/** Body of `GET /state`. */
export type EntryState = {
	readonly self: Member;
	/** All members in the process's view, including itself. */
	readonly members: readonly Member[];
	/** Absent before the first configuration. */
	readonly configuration?: ConfigurationInForce | undefined;
	readonly drains: readonly Drain[];
	readonly shiftCaps?: ShiftCaps | undefined;
	/** State of the shifts at this process; each process shifts its own traffic. */
	readonly shifts: readonly ShiftProgress[];
};

/** A routing decision, in the order of a request's path. */
export type Decision = 'clientBlock' | 'entry' | 'service' | 'route' | 'availabilityZone' | 'endpoint';

/** One routing decision of an explanation and its reason. */
export type ExplanationStep = {
	readonly decision: Decision;
	/** The result of the decision, for example an endpoint's id; `none` if there is none. */
	readonly choice: string;
	readonly reason: string;
};

/** Body of `GET /explain?service=NAME&address=IP[&path=PATH][&method=METHOD]`: how a request would be routed and why. */
export type Explanation = {
	/** Id of the entry that produced the explanation. */
	readonly entry: string;
	readonly configurationVersion: number;
	/** Decisions in the order in which they are made. */
	readonly steps: readonly ExplanationStep[];
};
