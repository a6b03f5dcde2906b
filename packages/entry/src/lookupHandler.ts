/**
 * Handles look-ups: `GET /lookup?service=NAME[&address=IP]`.
 */
import {isIP} from 'node:net';
import type {LookupError, LookupErrorKind} from '@filbertwell/steering/lookupError';
import type {LookupAnswer} from '@filbertwell/types/lookupAnswer';
import type {Result} from 'neverthrow';
import {type LocalResponse, problemResponse} from './localResponse.js';

/** Finds the entries that a caller at the IP address `address` should use for a service. */
export type FindEntries = (service: string, address: string) => Result<LookupAnswer, LookupError>;

const errorStatuses: Readonly<Record<LookupErrorKind, number>> = {
	invalidAddress: 400,
	unknownService: 404,
	noConfiguration: 503,
	noEntry: 503,
};

const retryAfterSeconds = 1;

const ipv4MappedPrefix = '::ffff:';

/**
 * Converts an IPv4-mapped IPv6 address to its IPv4 form.
 *
 * @param address - A socket's address as Node.js reports it.
 * @returns The IPv4 address if it was mapped, otherwise the address unchanged.
 */
export const normalizeAddress = (address: string): string => address.startsWith(ipv4MappedPrefix) ? address.slice(ipv4MappedPrefix.length) : address;

/**
 * Builds the response to a look-up.
 *
 * @param lookup - Finds entries.
 * @param query - Query of the request.
 * @param callerAddress - Address of the caller, used if the query has no `address`.
 * @param serviceNames - Configured services, listed in the body of an error.
 * @returns The entries with status 200, or an error response.
 */
export const lookupResponse = (lookup: FindEntries, query: URLSearchParams, callerAddress: string, serviceNames: readonly string[]): LocalResponse => {
	const service = query.get('service');
	const address = query.get('address') ?? callerAddress;
	if (service === null) {
		return problemResponse(400, 'invalid', 'invalidRequest', 'query parameter "service" is missing; use /lookup?service=NAME');
	}

	if (isIP(address) === 0) {
		return problemResponse(400, 'invalid', 'invalidRequest', `address "${address.slice(0, 100)}" is no IPv4 or IPv6 address`);
	}

	return lookup(service, address).match(
		(answer): LocalResponse => ({status: 200, outcome: 'answered', body: answer}),
		({kind, message}): LocalResponse => {
			const status = errorStatuses[kind];
			return status === 503
				? {...problemResponse(status, 'not-run', kind, message), retryAfterSeconds}
				: {status, outcome: 'invalid', body: {problem: kind, detail: message, services: serviceNames}};
		},
	);
};
