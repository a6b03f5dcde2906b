/**
 * Fits a least-squares line to points.
 */

/** A measured point. */
export type Point = {
	readonly x: number;
	readonly y: number;
};

/** A fitted line; `at` returns its y for an x. */
export type Line = {
	readonly slope: number;
	readonly at: (x: number) => number;
};

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points with different x.
 * @returns The line with the smallest sum of squared distances in y.
 */
export const fitLine = (points: readonly Point[]): Line => {
	let sumX = 0;
	let sumY = 0;
	let sumXx = 0;
	let sumXy = 0;
	for (const {x, y} of points) {
		sumX += x;
		sumY += y;
		sumXx += x * x;
		sumXy += x * y;
	}

	const count = points.length;
	const slope = ((count * sumXy) - (sumX * sumY)) / ((count * sumXx) - (sumX * sumX));
	const offset = (sumY - (slope * sumX)) / count;
	return {slope, at: x => offset + (slope * x)};
};
