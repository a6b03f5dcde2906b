/**
 * Fetches parts from several sources in turn and checks each against its hash.
 */
import {contentHash} from '@filbertwell/utils/hash';
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {hashOfReference, type PartReference} from './partReference.js';

/** Where a part can come from. */
export type PartOrigin = 'offer' | 'peer' | 'store';

/** One source of parts. */
export type PartSource = {
	readonly origin: PartOrigin;
	/** Fetches a part; `undefined` where the source does not have it. */
	readonly fetch: (reference: PartReference) => ResultAsync<string | undefined, {readonly detail: string}>;
};

/**
 * Why a part could not be had. `unavailable`: a source did not answer. `missing`: all sources
 * answered and none has it. `corrupt`: what they have does not match the hash.
 */
export type PartError = {
	readonly kind: 'unavailable' | 'missing' | 'corrupt';
	readonly reference: PartReference;
	readonly detail: string;
};

/** Counts of what was fetched. */
export type FetchCounts = {
	readonly parts: number;
	readonly bytes: number;
};

/** Fetches parts of one configuration. */
export type PartFetcher = {
	readonly fetch: (reference: PartReference) => Promise<Result<string, PartError>>;
	readonly counts: (origin: PartOrigin) => FetchCounts;
};

/** After so many failures in a row a source is left out for the rest of the configuration. */
const maximumFailuresInRow = 3;

const severity = ['missing', 'unavailable', 'corrupt'] as const;

/**
 * Creates a fetcher for the parts of one configuration.
 *
 * @param sources - Sources in the order in which they are asked.
 * @param onCorrupt - Told of each part that does not match its hash.
 * @returns The fetcher.
 */
export const createPartFetcher = (sources: readonly PartSource[], onCorrupt: (origin: PartOrigin, reference: PartReference) => void): PartFetcher => {
	const counts = new Map<PartOrigin, FetchCounts>();
	const failuresInRow = new Map<PartOrigin, number>();

	const fetchFrom = async ({origin, fetch}: PartSource, reference: PartReference): Promise<Result<string, PartError>> => {
		const answer = await fetch(reference);
		failuresInRow.set(origin, answer.isErr() ? (failuresInRow.get(origin) ?? 0) + 1 : 0);
		if (answer.isErr()) {
			return err({kind: 'unavailable', reference, detail: answer.error.detail});
		}

		const content = answer.value;
		if (content === undefined) {
			return err({kind: 'missing', reference, detail: `the ${origin} does not have it`});
		}

		if (contentHash(content) !== hashOfReference(reference)) {
			onCorrupt(origin, reference);
			return err({kind: 'corrupt', reference, detail: `the content from the ${origin} does not match the hash`});
		}

		const {parts, bytes} = counts.get(origin) ?? {parts: 0, bytes: 0};
		counts.set(origin, {parts: parts + 1, bytes: bytes + content.length});
		return ok(content);
	};

	return {
		async fetch(reference) {
			let worst: PartError = {kind: 'missing', reference, detail: 'no source has it'};
			for (const source of sources) {
				if ((failuresInRow.get(source.origin) ?? 0) >= maximumFailuresInRow) {
					worst = {kind: 'unavailable', reference, detail: `the ${source.origin} failed repeatedly`};
					continue;
				}

				const result = await fetchFrom(source, reference); // eslint-disable-line no-await-in-loop
				if (result.isOk()) {
					return result;
				}

				worst = severity.indexOf(result.error.kind) >= severity.indexOf(worst.kind) ? result.error : worst;
			}

			return err(worst);
		},
		counts: origin => counts.get(origin) ?? {parts: 0, bytes: 0},
	};
};
