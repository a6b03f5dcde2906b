/**
 * Reads load reports. What an upstream says of itself is never trusted to be well formed.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import {z} from 'zod';

const longestReport = 1000;
const count = z.number().min(0).max(1_000_000);

const reportSchema = z.object({
	state: z.enum(['serving', 'leaving']),
	slots: count,
	inUse: count,
	queued: count,
});

/**
 * Reads a load report.
 *
 * @param text - JSON, as in the header or at `GET /_load`.
 * @returns The report, or `undefined` where it is malformed.
 */
export const parseLoadReport = (text: string): LoadReport | undefined => {
	if (text.length > longestReport) {
		return undefined;
	}

	try {
		return reportSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
};
