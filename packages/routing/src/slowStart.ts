/**
 * Slow start of an endpoint that is new or has recovered: its share of new requests grows in a
 * straight line, since a process that has just started is slow until its caches are warm, and
 * one that has recovered may fail again under full load.
 */

/** Length of the ramp. */
export const slowStartMs = 5000;

const firstShare = 0.1;

/**
 * Share of its usual work that an endpoint gets.
 *
 * @param sinceMs - Milliseconds since it came into use; `undefined` for one that needs no ramp.
 * @returns From 0.1 to 1.
 */
export const slowStartShare = (sinceMs: number | undefined): number =>
	sinceMs === undefined ? 1 : Math.min(1, firstShare + ((1 - firstShare) * sinceMs / slowStartMs));
