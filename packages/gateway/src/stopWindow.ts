/**
 * Decides during a planned stop which requests are still taken. Callers that use an earlier look-up response keep sending
 * for a while; a request that is taken must be answered before the process exits.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** Progress of a planned stop. */
export type StopWindow = {
	/** Begins the stop; further calls have no effect. */
	readonly begin: () => void;
	readonly hasBegun: () => boolean;
	/** Time after the begin for which new connections are accepted, in milliseconds. */
	readonly acceptanceMs: () => number;
	/** Time until open requests are cut off, in milliseconds; infinite before the begin. */
	readonly remainingMs: () => number;
	/** Whether a request that arrives now is taken if it may last for this time, in milliseconds. */
	readonly takesRequest: (timeoutMs: number) => boolean;
};

/** How long new connections are still accepted after the stop request, until callers' look-up responses have expired. */
const maximumAcceptanceMs = 2500;
/** Margin before the end of the grace period at which the process stops waiting for open requests. */
const graceMarginMs = 250;

/**
 * Creates a window of a stop that has not begun.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @param graceMs - Returns the time from the stop request until the process is killed, in milliseconds.
 * @returns The window.
 */
export const createStopWindow = (clock: Clock, graceMs: () => number): StopWindow => {
	let begunAtMs: number | undefined;

	const acceptanceMs = () => Math.min(maximumAcceptanceMs, graceMs() / 2);
	const remainingMs = () => begunAtMs === undefined ? Number.POSITIVE_INFINITY : begunAtMs + graceMs() - graceMarginMs - clock();

	return {
		begin() {
			begunAtMs ??= clock();
		},
		hasBegun: () => begunAtMs !== undefined,
		acceptanceMs,
		remainingMs,
		takesRequest: timeoutMs => begunAtMs === undefined || clock() - begunAtMs <= acceptanceMs() || timeoutMs < remainingMs(),
	};
};
