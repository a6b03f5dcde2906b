/**
 * Clock that also counts the time in which the machine was suspended. The steady clock of the operating system stands
 * still during a suspension, so that after it a lease, a claim or a replica would appear younger than it is.
 */
import type {Clock} from './clock.js';

/** Clocks of the machine, all in milliseconds since arbitrary origins. */
export type MachineClocks = {
	/** Never adjusted; stands still while the machine is suspended. */
	readonly steady: Clock;
	/** Adjusted in either direction; goes on while the machine is suspended. */
	readonly wall: Clock;
	/** Time since the boot of the machine; goes on while the machine is suspended. Reading it is expensive. */
	readonly sinceBoot: Clock;
};

/** Difference between the clocks from which a suspension is assumed. Timers and adjustments cause smaller ones. */
const minimumSuspensionMs = 250;
/** Largest difference between the jumps of the wall clock and of the time since boot that still counts as the same jump. */
const toleranceMs = 100;

/**
 * Creates a clock from the steady clock. If the wall clock has jumped ahead of the steady one, the time since boot shows
 * whether the machine was suspended or the wall clock was adjusted.
 *
 * @param clocks - Clocks of the machine.
 * @returns Monotonic milliseconds. The clock moves ahead by the length of a suspension at its first reading afterwards.
 */
export const createSuspendAwareClock = ({steady, wall, sinceBoot}: MachineClocks): Clock => {
	let wallAheadMs = wall() - steady();
	let bootAheadMs = sinceBoot() - steady();
	let suspendedMs = 0;

	const checkJump = (jumpMs: number) => {
		const bootJumpMs = sinceBoot() - steady() - bootAheadMs;
		if (Math.abs(bootJumpMs - jumpMs) <= toleranceMs) {
			suspendedMs += bootJumpMs;
		}

		bootAheadMs += bootJumpMs;
	};

	return () => {
		const nowMs = steady();
		const jumpMs = wall() - nowMs - wallAheadMs;
		if (Math.abs(jumpMs) >= minimumSuspensionMs) {
			wallAheadMs += jumpMs;
			if (jumpMs > 0) {
				checkJump(jumpMs);
			}
		}

		return nowMs + suspendedMs;
	};
};
