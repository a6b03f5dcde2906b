/**
 * Parses load reports of upstreams and validates them, because upstreams may send malformed ones.
 */
import type {LoadReport} from '@filbertwell/types/loadReport';
import * as z from 'zod';

/** In characters. */
const maximumReportLength = 1000;
const maximumCachedReports = 500;
const countSchema = z.number().min(0).max(1_000_000);

const reportSchema = z.object({
	state: z.enum(['serving', 'leaving']),
	slots: countSchema,
	inUse: countSchema,
	queued: countSchema,
});

/**
 * Parses a load report.
 *
 * @param text - JSON from the load header or from `GET /_load`.
 * @returns The report, or `undefined` if it is malformed or too long.
 */
export const parseLoadReport = (text: string): LoadReport | undefined => {
	if (text.length > maximumReportLength) {
		return undefined;
	}

	try {
		return reportSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
};

/**
 * Creates a parser with a cache: endpoints send a report with each response and repeat the same
 * few texts.
 *
 * @returns The parser; it clears its cache when the maximum number of reports is reached.
 */
export const createLoadReportParser = (): ((text: string) => LoadReport | undefined) => {
	const cache = new Map<string, LoadReport | undefined>();
	return text => {
		if (cache.has(text)) {
			return cache.get(text);
		}

		const report = parseLoadReport(text);
		if (cache.size >= maximumCachedReports) {
			cache.clear();
		}

		cache.set(text, report);
		return report;
	};
};
