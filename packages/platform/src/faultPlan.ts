/**
 * Fault injection for tests and the platform stand-in. Faults with a probability are repeatable by seed.
 */
import type {Random} from '@filbertwell/utils/random';

/** The service that a fault affects. */
export type FaultTarget = 'table' | 'objects' | 'instances';

/** All fault targets. */
export const faultTargets: readonly FaultTarget[] = ['table', 'objects', 'instances'];

/**
 * Effect of a fault on a call.
 * `delay`: the call runs later. `error`: the call is rejected without effect. `lostReply`: the call
 * takes effect, but its reply is lost. `pause`: the call waits until the faults are cleared or
 * replaced. `down`: the connection closes without effect. `staleList`: the list of instances is
 * returned as it was when the fault was set.
 */
export type FaultKind = 'delay' | 'error' | 'lostReply' | 'pause' | 'down' | 'staleList';

/** All fault kinds. */
export const faultKinds: readonly FaultKind[] = ['delay', 'error', 'lostReply', 'pause', 'down', 'staleList'];

/** Kind of access of a call. */
export type CallAccess = 'read' | 'write';

/** A fault to inject. */
export type Fault = {
	readonly target: FaultTarget;
	readonly kind: FaultKind;
	/** Kind of calls that it affects; both if omitted. */
	readonly access?: CallAccess | undefined;
	/** Probability from 0 to 1 that it affects such a call; 1 if omitted. */
	readonly probability?: number | undefined;
	/** Number of affected calls after which it ends; unlimited if omitted. */
	readonly count?: number | undefined;
	/** Delay in milliseconds, for the kind `delay`. */
	readonly delayMs?: number | undefined;
};

/** Effects of all faults on one call. */
export type CallFaults = {
	readonly delayMs: number;
	readonly isPaused: boolean;
	readonly isRejected: boolean;
	readonly isDown: boolean;
	readonly isReplyLost: boolean;
	readonly isListStale: boolean;
};

/** The active faults. */
export type FaultPlan = {
	/** Replaces all faults; paused calls continue. */
	readonly set: (faults: readonly Fault[]) => void;
	/** Returns the effects on the next call and counts it. */
	readonly draw: (target: FaultTarget, access: CallAccess) => CallFaults;
	/** Resolves when the faults are next replaced. */
	readonly untilReplaced: () => Promise<void>;
};

type ActiveFault = Fault & {remaining: number};

/**
 * Creates a plan without faults.
 *
 * @param random - Random numbers for faults with a probability.
 * @returns The plan.
 */
export const createFaultPlan = (random: Random): FaultPlan => {
	let active: ActiveFault[] = [];
	let waiters: Array<() => void> = [];

	const affects = (fault: ActiveFault, target: FaultTarget, access: CallAccess): boolean => {
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
			const released = waiters;
			waiters = [];
			for (const resume of released) {
				resume();
			}
		},
		draw(target, access) {
			const matching = active.filter(fault => affects(fault, target, access));
			const hasKind = (kind: FaultKind) => matching.some(fault => fault.kind === kind);
			return {
				delayMs: Math.max(0, ...matching.filter(fault => fault.kind === 'delay').map(fault => fault.delayMs ?? 0)),
				isPaused: hasKind('pause'),
				isRejected: hasKind('error'),
				isDown: hasKind('down'),
				isReplyLost: hasKind('lostReply'),
				isListStale: hasKind('staleList'),
			};
		},
		async untilReplaced() {
			await new Promise<void>(resolve => {
				waiters.push(resolve);
			});
		},
	};
};
