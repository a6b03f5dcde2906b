/**
 * Parses a caller's request line and headers, and rejects malformed requests.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Route, RouteKind, Service} from '@filbertwell/types/intent';
import {
	attemptHeader, deadlineHeader, idempotencyKeyHeader, requestIdHeader, tenantHeader,
} from '@filbertwell/types/headers';
import {err, ok, type Result} from 'neverthrow';
import {type LocalResponse, problemResponse} from './localResponse.js';
import {headerProblem} from './messageHead.js';
import {findRoute, type ServiceIndex} from './serviceIndex.js';

/** A valid request with its service and route. */
export type ParsedRequest = {
	readonly id: string;
	readonly method: string;
	readonly service: Service;
	readonly route: Route;
	/** Path with query for the upstream. */
	readonly path: string;
	readonly tenant: string;
	/** Milliseconds from the start of the request until its deadline. */
	readonly deadlineMs: number;
	readonly idempotencyKey: string | undefined;
	/** Attempt number that the caller sent; the first attempt has 1. */
	readonly attempt: number | undefined;
	/** Length of the body; `undefined` if the body is chunked. */
	readonly bodyBytes: number | undefined;
};

/** Tenant of requests without a tenant header. */
export const defaultTenant = 'default';

const maximumKeyLength = 200;
const maximumNameLength = 100;
const maximumDeadlineMs = 3_600_000;
const namePattern = /^[\w.:@-]+$/;
const integerPattern = /^\d{1,10}$/;

const invalidRequest = (detail: string): LocalResponse => ({...problemResponse(400, 'invalid', 'invalidRequest', detail), closesConnection: true});

/**
 * Reads a header that should occur at most once.
 *
 * @param request - The request.
 * @param name - Name of the header in lower case.
 * @returns The value, `undefined` if the header is absent, or the values joined by commas if it is repeated.
 */
const readHeader = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(', ') : value;
};

const parseInteger = (request: IncomingMessage, name: string): Result<number | undefined, LocalResponse> => {
	const text = readHeader(request, name);
	if (text === undefined) {
		return ok(undefined);
	}

	return integerPattern.test(text) ? ok(Number(text)) : err(invalidRequest(`${name}: "${text.slice(0, maximumNameLength)}" is no whole number; give one without a sign`));
};

const parseName = (request: IncomingMessage, name: string, maximumLength: number): Result<string | undefined, LocalResponse> => {
	const text = readHeader(request, name);
	if (text === undefined || (text.length <= maximumLength && namePattern.test(text))) {
		return ok(text);
	}

	return err(invalidRequest(`${name}: "${text.slice(0, maximumNameLength)}" is not allowed; use 1 to ${maximumLength} letters, digits and . : @ _ -`));
};

/**
 * Determines the outcome of a request that is refused before routing. The idempotency key has not
 * been checked at that point, so an earlier attempt of an at-most-once request may have run,
 * unless the attempt number is 1.
 *
 * @param kind - Kind of the route.
 * @param attempt - Attempt number that the caller sent, if any.
 * @returns `in-doubt` if an earlier attempt may have run, otherwise `not-run`.
 */
export const refusalOutcome = (kind: RouteKind, attempt: number | undefined): 'not-run' | 'in-doubt' =>
	kind === 'atMostOnce' && attempt !== 1 ? 'in-doubt' : 'not-run';

const parseDeadline = (request: IncomingMessage, route: Route, attempt: number | undefined): Result<number, LocalResponse> => {
	const text = readHeader(request, deadlineHeader);
	if (text === undefined) {
		return ok(route.deadlineMs);
	}

	// A negative number is valid and means that the deadline has passed.
	if (/^-\d{1,10}$/.test(text) || text === '0') {
		return err({
			...problemResponse(504, refusalOutcome(route.kind, attempt), 'deadlinePassed', `${deadlineHeader}: "${text}" has passed; this attempt was not run`),
			closesConnection: true,
		});
	}

	return integerPattern.test(text)
		? ok(Math.min(maximumDeadlineMs, Number(text)))
		: err(invalidRequest(`${deadlineHeader}: "${text.slice(0, maximumNameLength)}" is no whole number of milliseconds`));
};

const parseLength = (request: IncomingMessage, service: Service): Result<number | undefined, LocalResponse> => {
	const text = readHeader(request, 'content-length');
	const length = text === undefined ? undefined : Number(text);
	if (length !== undefined && length > service.maximumBodyBytes) {
		return err({
			...problemResponse(413, 'not-run', 'bodyTooLarge', `the body has ${length} bytes; service "${service.name}" takes at most ${service.maximumBodyBytes}`),
			closesConnection: true,
		});
	}

	return ok(length ?? (request.headers['transfer-encoding'] === undefined ? 0 : undefined));
};

const unknownServiceResponse = (path: string, host: string | undefined, names: readonly string[]): LocalResponse => ({
	status: 404,
	outcome: 'invalid',
	body: {
		problem: 'unknownService',
		detail: `neither path "${path.slice(0, maximumNameLength)}" nor host "${(host ?? '').slice(0, maximumNameLength)}" selects a service; services are in "services"`,
		services: names,
	},
	closesConnection: true,
});

/**
 * Parses a request.
 *
 * @param request - The caller's request.
 * @param index - Services of the configuration in force.
 * @returns The parsed request, or the error response to send.
 */
export const parseRequest = (request: IncomingMessage, index: ServiceIndex): Result<ParsedRequest, LocalResponse> => {
	const url = request.url ?? '/';
	const method = request.method ?? 'GET';
	if (!url.startsWith('/')) {
		return err(invalidRequest(`request target "${url.slice(0, maximumNameLength)}" is no path; send the path alone`));
	}

	const problem = headerProblem(request.rawHeaders);
	if (problem !== undefined) {
		return err(invalidRequest(problem));
	}

	const match = index.match(url, request.headers.host);
	if (match === undefined) {
		return err(unknownServiceResponse(url, request.headers.host, index.names));
	}

	const {service, path} = match;
	const route = findRoute(service, method, path);
	if (route === undefined) {
		return err({
			...problemResponse(404, 'invalid', 'unknownRoute', `service "${service.name}" has no route for ${method} ${path.slice(0, maximumNameLength)}`),
			closesConnection: true,
		});
	}

	const tenant = parseName(request, tenantHeader, maximumNameLength);
	const key = parseName(request, idempotencyKeyHeader, maximumKeyLength);
	const id = parseName(request, requestIdHeader, maximumKeyLength);
	const attempt = parseInteger(request, attemptHeader);
	const deadline = parseDeadline(request, route, attempt.unwrapOr(undefined));
	const length = parseLength(request, service);
	for (const part of [tenant, key, id, attempt, deadline, length]) {
		if (part.isErr()) {
			return err(part.error);
		}
	}

	const idempotencyKey = key.unwrapOr(undefined);
	if (route.kind === 'atMostOnce' && idempotencyKey === undefined) {
		return err(invalidRequest(`route "${route.name}" runs requests at most once; give each a unique ${idempotencyKeyHeader} header`));
	}

	return ok({
		id: id.unwrapOr(undefined) ?? randomUUID(),
		method,
		service,
		route,
		path,
		tenant: tenant.unwrapOr(undefined) ?? defaultTenant,
		deadlineMs: deadline.unwrapOr(route.deadlineMs),
		idempotencyKey,
		attempt: attempt.unwrapOr(undefined),
		bodyBytes: length.unwrapOr(undefined),
	});
};
