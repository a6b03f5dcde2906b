/**
 * Fetches parts from several sources in order and verifies each one against its content hash.
 */
import {contentHash} from '@filbertwell/utils/hash';
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {hashOfReference, type PartReference} from './partReference.js';

/** Kind of a source: a part sent with an offer, a peer, or the object store. */
export type PartOrigin = 'offer' | 'peer' | 'store';

/** A source from which parts are fetched. */
export type PartSource = {
	readonly origin: PartOrigin;
	/** Fetches a part; resolves to `undefined` if the source does not have it. */
	readonly fetch: (reference: PartReference) => ResultAsync<string | undefined, {readonly detail: string}>;
};

/**
 * Why a part could not be fetched. `unavailable`: a source did not answer. `missing`: all sources
 * answered and none has the part. `corrupt`: the content of a source does not match the hash.
 */
export type PartError = {
	readonly kind: 'unavailable' | 'missing' | 'corrupt';
	readonly reference: PartReference;
	readonly detail: string;
};

/** Number of fetched parts and their total length. */
export type FetchCounts = {
	readonly parts: number;
	readonly bytes: number;
};

/** Fetches parts of one configuration. */
export type PartFetcher = {
	readonly fetch: (reference: PartReference) => Promise<Result<string, PartError>>;
	readonly counts: (origin: PartOrigin) => FetchCounts;
};

/** Consecutive failures after which a source is skipped for the rest of the configuration. */
const maximumConsecutiveFailures = 3;

const kindsBySeverity = ['missing', 'unavailable', 'corrupt'] as const;

/**
 * Creates a fetcher for the parts of one configuration.
 *
 * @param sources - Sources in the order in which they are tried.
 * @param onCorrupt - Called for each fetched part that does not match its hash.
 * @returns The fetcher.
 */
export const createPartFetcher = (sources: readonly PartSource[], onCorrupt: (origin: PartOrigin, reference: PartReference) => void): PartFetcher => {
	const counts = new Map<PartOrigin, FetchCounts>();
	const consecutiveFailures = new Map<PartOrigin, number>();

	const fetchFrom = async ({origin, fetch}: PartSource, reference: PartReference): Promise<Result<string, PartError>> => {
		const answer = await fetch(reference);
		consecutiveFailures.set(origin, answer.isErr() ? (consecutiveFailures.get(origin) ?? 0) + 1 : 0);
		if (answer.isErr()) {
			return err({kind: 'unavailable', reference, detail: answer.error.detail});
		}

		const content = answer.value;
		if (content === undefined) {
			return err({kind: 'missing', reference, detail: `source "${origin}" does not have the part`});
		}

		if (contentHash(content) !== hashOfReference(reference)) {
			onCorrupt(origin, reference);
			return err({kind: 'corrupt', reference, detail: `the content from source "${origin}" does not match the hash`});
		}

		const {parts, bytes} = counts.get(origin) ?? {parts: 0, bytes: 0};
		counts.set(origin, {parts: parts + 1, bytes: bytes + content.length});
		return ok(content);
	};

	return {
		async fetch(reference) {
			let worstError: PartError = {kind: 'missing', reference, detail: 'no source has the part'};
			for (const source of sources) {
				if ((consecutiveFailures.get(source.origin) ?? 0) >= maximumConsecutiveFailures) {
					worstError = {kind: 'unavailable', reference, detail: `source "${source.origin}" is skipped after repeated failures`};
					continue;
				}

				const result = await fetchFrom(source, reference); // eslint-disable-line no-await-in-loop
				if (result.isOk()) {
					return result;
				}

				worstError = kindsBySeverity.indexOf(result.error.kind) >= kindsBySeverity.indexOf(worstError.kind) ? result.error : worstError;
			}

			return err(worstError);
		},
		counts: origin => counts.get(origin) ?? {parts: 0, bytes: 0},
	};
};
