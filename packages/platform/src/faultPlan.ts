/**
 * Faults of a platform stand-in: which calls meet which fault, repeatable by seed.
 */
import type {Random} from '@filbertwell/utils/random';

/** The service that a fault strikes. */
export type FaultTarget = 'table' | 'objects' | 'instances';

/** All fault targets. */
export const faultTargets: readonly FaultTarget[] = ['table', 'objects', 'instances'];

/**
 * What a fault does to a call.
 * `delay`: it runs later. `error`: refused, without effect. `lostReply`: it takes effect and the
 * reply is lost. `pause`: it waits until the faults are cleared or replaced. `down`: the connection
 * closes, without effect. `staleList`: lists show what they held when the fault was set.
 */
export type FaultKind = 'delay' | 'error' | 'lostReply' | 'pause' | 'down' | 'staleList';

/** All fault kinds. */
export const faultKinds: readonly FaultKind[] = ['delay', 'error', 'lostReply', 'pause', 'down', 'staleList'];

/** Whether a call only reads. */
export type CallAccess = 'read' | 'write';

/** A fault. */
export type Fault = {
	readonly target: FaultTarget;
	readonly kind: FaultKind;
	/** The calls that can meet it; both if left out. */
	readonly access?: CallAccess | undefined;
	/** Chance from 0 to 1 that such a call meets it; 1 if left out. */
	readonly probability?: number | undefined;
	/** Calls that meet it before it ends by itself; no end if left out. */
	readonly count?: number | undefined;
	/** Delay of the kind `delay`, in milliseconds. */
	readonly delayMs?: number | undefined;
};

/** What happens to one call. */
export type CallFaults = {
	readonly delayMs: number;
	readonly paused: boolean;
	readonly refused: boolean;
	readonly down: boolean;
	readonly replyLost: boolean;
	readonly stale: boolean;
};

/** The faults in force. */
export type FaultPlan = {
	/** Replaces all faults; calls that a `pause` holds go on. */
	readonly set: (faults: readonly Fault[]) => void;
	/** Decides what happens to the next call. */
	readonly draw: (target: FaultTarget, access: CallAccess) => CallFaults;
	/** Settles when the faults are next replaced. */
	readonly replaced: () => Promise<void>;
};

type ActiveFault = Fault & {remaining: number};

/**
 * Creates a plan without faults.
 *
 * @param random - Decides by probability.
 * @returns The plan.
 */
export const createFaultPlan = (random: Random): FaultPlan => {
	let active: ActiveFault[] = [];
	let waiting: Array<() => void> = [];

	const strikes = (fault: ActiveFault, target: FaultTarget, access: CallAccess): boolean => {
		if (fault.target !== target || fault.remaining <= 0 || (fault.access ?? access) !== access) {
			return false;
		}

		if (random() >= (fault.probability ?? 1)) {
			return false;
		}

		fault.remaining -= 1;
		return true;
	};

	return {
		set(faults) {
			active = faults.map(fault => ({...fault, remaining: fault.count ?? Number.POSITIVE_INFINITY}));
			const resumed = waiting;
			waiting = [];
			for (const resume of resumed) {
				resume();
			}
		},
		draw(target, access) {
			const struck = active.filter(fault => strikes(fault, target, access));
			const has = (kind: FaultKind) => struck.some(fault => fault.kind === kind);
			return {
				delayMs: Math.max(0, ...struck.filter(fault => fault.kind === 'delay').map(fault => fault.delayMs ?? 0)),
				paused: has('pause'),
				refused: has('error'),
				down: has('down'),
				replyLost: has('lostReply'),
				stale: has('staleList'),
			};
		},
		async replaced() {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		},
	};
};
