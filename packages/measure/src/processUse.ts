/**
 * Samples memory and handles of a process and compares them over time, to detect leaks.
 */
import {readdir, readFile} from 'node:fs/promises';

/** Memory and handles of a process at one time. */
export type UseSample = {
	readonly residentMegabytes: number;
	/** Open file descriptors, sockets included. */
	readonly handles: number;
};

/** Medians of the second and of the last quarter of the samples; `flat` is true if neither memory nor handles grew beyond their limits. */
export type UseTrend = {
	readonly samples: number;
	readonly residentEarlyMegabytes: number;
	readonly residentLateMegabytes: number;
	readonly handlesEarly: number;
	readonly handlesLate: number;
	readonly flat: boolean;
};

const kilobytesPerMegabyte = 1024;
const residentGrowthLimit = 1.3;
const handleGrowthLimit = 1.3;
/** Number of handles that connections may add between samples without a leak. */
const handleAllowance = 20;

/**
 * Reads memory and handles of a process from `/proc`.
 *
 * @param pid - Id of the process.
 * @returns Memory and handles; `undefined` once the process has exited.
 */
export const sampleUse = async (pid: number): Promise<UseSample | undefined> => {
	try {
		const [status, descriptors] = await Promise.all([readFile(`/proc/${pid}/status`, 'utf8'), readdir(`/proc/${pid}/fd`)]);
		const kilobytes = Number(/^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(status)?.groups?.kilobytes ?? 0);
		return {residentMegabytes: kilobytes / kilobytesPerMegabyte, handles: descriptors.length};
	} catch {
		return undefined;
	}
};

const median = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/**
 * Compares the second quarter of the samples with the last quarter.
 *
 * @param samples - Samples of one process in order of time.
 * @returns The medians, and whether usage is flat.
 */
export const compareUse = (samples: readonly UseSample[]): UseTrend => {
	const quarter = Math.floor(samples.length / 4);
	const early = samples.slice(quarter, 2 * quarter);
	const late = samples.slice(-Math.max(1, quarter));
	const residentEarly = median(early.map(({residentMegabytes}) => residentMegabytes));
	const residentLate = median(late.map(({residentMegabytes}) => residentMegabytes));
	const handlesEarly = median(early.map(({handles}) => handles));
	const handlesLate = median(late.map(({handles}) => handles));
	return {
		samples: samples.length,
		residentEarlyMegabytes: Math.round(residentEarly),
		residentLateMegabytes: Math.round(residentLate),
		handlesEarly,
		handlesLate,
		flat: residentLate <= residentEarly * residentGrowthLimit && handlesLate <= (handlesEarly * handleGrowthLimit) + handleAllowance,
	};
};
