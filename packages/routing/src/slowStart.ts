/**
 * Slow start of an endpoint that is new or has recovered: its load grows linearly, since a process
 * that has just started is slow until its caches are warm, and one that has recovered may fail again
 * under full load.
 */

/** Duration of a slow start in milliseconds. */
export const slowStartMs = 5000;

const initialFactor = 0.1;

/**
 * Computes the fraction of its usual load that an endpoint takes.
 *
 * @param sinceMs - Milliseconds since the start or recovery; `undefined` without a slow start.
 * @returns A factor from 0.1 to 1.
 */
export const slowStartFactor = (sinceMs: number | undefined): number =>
	sinceMs === undefined ? 1 : Math.min(1, initialFactor + ((1 - initialFactor) * sinceMs / slowStartMs));
