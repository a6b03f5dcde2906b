/**
 * An offer: an accepted head with the parts that are new in it. An operator's desk sends it to
 * entries right after the acceptance, so that the change spreads even if the platform goes down.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Acceptance} from './acceptConfiguration.js';
import {formatHead} from './head.js';

/** An offer. */
export type Offer = {
	/** The head, as `formatHead` prints it. */
	readonly head: string;
	/** Contents of parts. */
	readonly parts: readonly string[];
};

/** An offer that cannot be read. */
export type MalformedOffer = {
	readonly kind: 'malformed';
	readonly detail: string;
};

/** Most characters of an offer's parts; entries get the rest from the platform or from peers. */
export const maximumOfferCharacters = 1024 * 1024;

const offerSchema = z.strictObject({head: z.string(), parts: z.array(z.string())});

/**
 * Makes the offer of an accepted change.
 *
 * @param acceptance - The accepted change.
 * @returns The offer. Parts that name others go first if not all fit.
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
 * Reads an offer from the body of a request.
 *
 * @param text - JSON of an offer.
 * @returns The offer, or what is wrong with the text.
 */
export const parseOffer = (text: string): Result<Offer, MalformedOffer> => {
	try {
		const parsed = offerSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : err({kind: 'malformed', detail: z.prettifyError(parsed.error)});
	} catch {
		return err({kind: 'malformed', detail: 'the offer is not JSON'});
	}
};
