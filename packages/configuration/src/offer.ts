/**
 * An offer: an accepted head with its new parts. The operator's command-line tool sends it to
 * entries right after the acceptance, so that the change spreads even if the platform fails.
 */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import type {Acceptance} from './acceptConfiguration.js';
import {formatHead} from './head.js';

/** An accepted head and some of its parts, as sent to an entry. */
export type Offer = {
	/** The head, in the format of `formatHead`. */
	readonly head: string;
	/** Contents of the parts. */
	readonly parts: readonly string[];
};

/** Error of an offer that cannot be parsed. */
export type MalformedOffer = {
	readonly kind: 'malformed';
	readonly detail: string;
};

/** Maximum total characters of an offer's parts; entries fetch the rest from the platform or from peers. */
export const maximumOfferCharacters = 1024 * 1024;

const offerSchema = z.strictObject({head: z.string(), parts: z.array(z.string())});

/**
 * Creates the offer of an accepted change.
 *
 * @param acceptance - The accepted change.
 * @returns The offer. If not all parts fit, those that reference others take precedence.
 */
export const createOffer = ({head, newParts}: Acceptance): Offer => {
	const parts: string[] = [];
	let characters = 0;
	for (const {content} of newParts.toReversed()) {
		characters += content.length;
		if (characters > maximumOfferCharacters) {
			break;
		}

		parts.push(content);
	}

	return {head: formatHead(head), parts};
};

/**
 * Parses an offer from the body of a request.
 *
 * @param text - An offer as JSON.
 * @returns The offer, or why the text is not a valid offer.
 */
export const parseOffer = (text: string): Result<Offer, MalformedOffer> => {
	try {
		const parsed = offerSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : err({kind: 'malformed', detail: z.prettifyError(parsed.error)});
	} catch {
		return err({kind: 'malformed', detail: 'the offer is not JSON'});
	}
};
