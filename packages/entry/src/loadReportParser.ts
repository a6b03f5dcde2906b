/**
 * Reads load reports. What an upstream says of itself is never trusted to be well formed.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import {z} from 'zod';

const longestReport = 1000;
const rememberedReports = 500;
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

/**
 * Creates a parser that remembers what it has read: endpoints say the same few things again
 * and again, on each answer.
 *
 * @returns The parser; its memory is bounded.
 */
export const createLoadReportParser = (): ((text: string) => LoadReport | undefined) => {
	const known = new Map<string, LoadReport | undefined>();
	return text => {
		if (known.has(text)) {
			return known.get(text);
		}

		const report = parseLoadReport(text);
		if (known.size >= rememberedReports) {
			known.clear();
		}

		known.set(text, report);
		return report;
	};
};
