/**
 * Reads from a caller's request what the entry needs of it, and refuses what is malformed.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Route, RouteKind, Service} from '@filbertwell/types/intent';
import {
	attemptHeader, deadlineHeader, idempotencyKeyHeader, requestIdHeader, tenantHeader,
} from '@filbertwell/types/headers';
import {err, ok, type Result} from 'neverthrow';
import {type OwnAnswer, problemAnswer} from './answer.js';
import {findRoute, type ServiceIndex} from './serviceIndex.js';

/** A request that can be routed. */
export type ParsedRequest = {
	readonly id: string;
	readonly method: string;
	readonly service: Service;
	readonly route: Route;
	/** Path with query for the upstream. */
	readonly path: string;
	readonly tenant: string;
	/** Milliseconds until the caller stops waiting. */
	readonly deadlineMs: number;
	readonly idempotencyKey: string | undefined;
	/** The caller's number of this attempt. */
	readonly attempt: number | undefined;
	/** Length of the body, if the request says so. */
	readonly bodyBytes: number | undefined;
};

/** Tenant of requests that name none. */
export const defaultTenant = 'default';

const longestKey = 200;
const longestName = 100;
const longestDeadlineMs = 3_600_000;
const namePattern = /^[\w.:@-]+$/;
const integerPattern = /^\d{1,10}$/;

const invalid = (detail: string): OwnAnswer => ({...problemAnswer(400, 'invalid', 'invalidRequest', detail), closesConnection: true});

/**
 * Reads a header that must occur at most once.
 *
 * @param request - The request.
 * @param name - Header in lower case.
 * @returns The value, or `undefined` where it is absent; joined by a comma where repeated.
 */
const single = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(', ') : value;
};

const parseInteger = (request: IncomingMessage, name: string): Result<number | undefined, OwnAnswer> => {
	const text = single(request, name);
	if (text === undefined) {
		return ok(undefined);
	}

	return integerPattern.test(text) ? ok(Number(text)) : err(invalid(`${name}: "${text.slice(0, longestName)}" is no whole number; give one without a sign`));
};

const parseName = (request: IncomingMessage, name: string, longest: number): Result<string | undefined, OwnAnswer> => {
	const text = single(request, name);
	if (text === undefined || (text.length <= longest && namePattern.test(text))) {
		return ok(text);
	}

	return err(invalid(`${name}: "${text.slice(0, longestName)}" is not allowed; use 1 to ${longest} letters, digits and . : @ _ -`));
};

/**
 * What a refusal before routing says of a request. A claim was not looked at: an earlier attempt
 * of an at-most-once request may have run, unless this is by its number the first.
 *
 * @param kind - Kind of the route.
 * @param attempt - The caller's number of the attempt, if it gave one.
 * @returns `not-run`, or `in-doubt` where an earlier attempt may have run.
 */
export const earlyRefusal = (kind: RouteKind, attempt: number | undefined): 'not-run' | 'in-doubt' =>
	kind === 'atMostOnce' && attempt !== 1 ? 'in-doubt' : 'not-run';

const parseDeadline = (request: IncomingMessage, route: Route, attempt: number | undefined): Result<number, OwnAnswer> => {
	const text = single(request, deadlineHeader);
	if (text === undefined) {
		return ok(route.deadlineMs);
	}

	// A sign is well formed: it tells of a deadline that has passed.
	if (/^-\d{1,10}$/.test(text) || text === '0') {
		return err({
			...problemAnswer(504, earlyRefusal(route.kind, attempt), 'deadlinePassed', `${deadlineHeader}: "${text}" has passed; this attempt was not run`),
			closesConnection: true,
		});
	}

	return integerPattern.test(text)
		? ok(Math.min(longestDeadlineMs, Number(text)))
		: err(invalid(`${deadlineHeader}: "${text.slice(0, longestName)}" is no whole number of milliseconds`));
};

const parseLength = (request: IncomingMessage, service: Service): Result<number | undefined, OwnAnswer> => {
	const text = single(request, 'content-length');
	const length = text === undefined ? undefined : Number(text);
	if (length !== undefined && length > service.maximumBodyBytes) {
		return err({
			...problemAnswer(413, 'not-run', 'bodyTooLarge', `the body has ${length} bytes; service "${service.name}" takes at most ${service.maximumBodyBytes}`),
			closesConnection: true,
		});
	}

	return ok(length ?? (request.headers['transfer-encoding'] === undefined ? 0 : undefined));
};

const unknownService = (path: string, host: string | undefined, names: readonly string[]): OwnAnswer => ({
	status: 404,
	outcome: 'invalid',
	body: {
		problem: 'unknownService',
		detail: `neither path "${path.slice(0, longestName)}" nor host "${(host ?? '').slice(0, longestName)}" selects a service; services are in "services"`,
		services: names,
	},
	closesConnection: true,
});

/**
 * Reads a request.
 *
 * @param request - The caller's request.
 * @param index - Services of the configuration in force.
 * @returns The request, or the answer that refuses it.
 */
export const parseRequest = (request: IncomingMessage, index: ServiceIndex): Result<ParsedRequest, OwnAnswer> => {
	const url = request.url ?? '/';
	const method = request.method ?? 'GET';
	if (!url.startsWith('/')) {
		return err(invalid(`request target "${url.slice(0, longestName)}" is no path; send the path alone`));
	}

	const match = index.match(url, request.headers.host);
	if (match === undefined) {
		return err(unknownService(url, request.headers.host, index.names));
	}

	const {service, path} = match;
	const route = findRoute(service, method, path);
	if (route === undefined) {
		return err({
			...problemAnswer(404, 'invalid', 'unknownRoute', `service "${service.name}" has no route for ${method} ${path.slice(0, longestName)}`),
			closesConnection: true,
		});
	}

	const tenant = parseName(request, tenantHeader, longestName);
	const key = parseName(request, idempotencyKeyHeader, longestKey);
	const id = parseName(request, requestIdHeader, longestKey);
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
		return err(invalid(`route "${route.name}" runs requests at most once; give each a unique ${idempotencyKeyHeader} header`));
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
