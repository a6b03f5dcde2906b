/**
 * Answers look-ups: `GET /lookup?service=NAME[&address=IP]`.
 */
import {isIP} from 'node:net';
import type {LookupError, LookupErrorKind} from '@filbertwell/steering/lookupError';
import type {LookupAnswer} from '@filbertwell/types/lookupAnswer';
import type {Result} from 'neverthrow';
import {type OwnAnswer, problemAnswer} from './answer.js';

/** Finds entries for a caller. */
export type Lookup = (service: string, address: string) => Result<LookupAnswer, LookupError>;

const statusOfError: Readonly<Record<LookupErrorKind, number>> = {
	invalidAddress: 400,
	unknownService: 404,
	noConfiguration: 503,
	noEntry: 503,
};

const retryAfterSeconds = 1;

const ipv4Mapped = '::ffff:';

/**
 * Plain form of a socket's address.
 *
 * @param address - Address by Node, perhaps an IPv4 address in IPv6 form.
 * @returns The IPv4 or IPv6 address.
 */
export const plainAddress = (address: string): string => address.startsWith(ipv4Mapped) ? address.slice(ipv4Mapped.length) : address;

/**
 * Answers a look-up.
 *
 * @param lookup - Finds entries.
 * @param query - Query of the request.
 * @param callerAddress - Where the request came from.
 * @param serviceNames - Known services, for the error.
 * @returns The answer.
 */
export const answerLookup = (lookup: Lookup, query: URLSearchParams, callerAddress: string, serviceNames: readonly string[]): OwnAnswer => {
	const service = query.get('service');
	const address = query.get('address') ?? callerAddress;
	if (service === null) {
		return problemAnswer(400, 'invalid', 'invalidRequest', 'query parameter "service" is missing; use /lookup?service=NAME');
	}

	if (isIP(address) === 0) {
		return problemAnswer(400, 'invalid', 'invalidRequest', `address "${address.slice(0, 100)}" is no IPv4 or IPv6 address`);
	}

	return lookup(service, address).match(
		(answer): OwnAnswer => ({status: 200, outcome: 'answered', body: answer}),
		({kind, message}): OwnAnswer => {
			const status = statusOfError[kind];
			return status === 503
				? {...problemAnswer(status, 'not-run', kind, message), retryAfterSeconds}
				: {status, outcome: 'invalid', body: {problem: kind, detail: message, services: serviceNames}};
		},
	);
};
