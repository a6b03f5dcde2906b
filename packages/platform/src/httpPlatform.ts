/**
 * HTTP client of the platform with keep-alive connections. Each service has its own connections, queue
 * and circuit breaker, so that one failing service does not block the others.
 */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {platformEvents} from '@filbertwell/logger/events/platformEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import type * as z from 'zod';
import {createCircuitBreaker, type CircuitState} from './circuitBreaker.js';
import {createConcurrencyLimit} from './concurrencyLimit.js';
import type {FaultTarget} from './faultPlan.js';
import {
	createCallGuard, type ServiceResponse, type CallKind, type FinishedCall,
} from './guardedCall.js';
import {exchange, type ExchangeRequest} from './httpExchange.js';
import type {Platform} from './platform.js';
import type {PlatformError} from './platformError.js';
import {maximumObjectBytes} from './platformLimits.js';
import {validateObject, validateTransaction} from './callValidation.js';
import {
	instancesResponseSchema, keysResponseSchema, readResponseSchema, scanResponseSchema, toWireTransaction, transactionResultSchema,
} from './wire.js';

export type HttpPlatformOptions = {
	readonly address: SocketAddress;
	/** Timeout of a whole call in milliseconds, including queueing and retries. */
	readonly timeoutMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Maximum number of calls in progress to each of table, objects and instances; 16 by default. */
	readonly maximumActive?: number;
	/** Maximum number of calls that wait to start, for each service; 256 by default. */
	readonly maximumQueued?: number;
	/** Called after each call, for metrics. */
	readonly onFinished?: (call: FinishedCall) => void;
	/** Called on each state change of a circuit breaker, for metrics. */
	readonly onCircuitChange?: (service: FaultTarget, state: CircuitState) => void;
};

/** HTTP client of the platform. */
export type HttpPlatform = Platform & {
	/** Closes the connections; calls in progress fail. */
	readonly close: () => void;
};

const defaultMaximumActive = 16;
const defaultMaximumQueued = 256;
const failureThreshold = 8;
const initialOpenMs = 250;
const maximumOpenMs = 5000;
/** Twice the largest content, to leave room for JSON escapes. */
const maximumResponseBytes = 2 * maximumObjectBytes;
const notFound = 404;

type ServiceRequest = ExchangeRequest & {
	readonly operation: string;
	readonly kind: CallKind;
	readonly validationError?: string | undefined;
};

const parseResponse = <Value>(operation: string, schema: z.ZodType<Value>, body: string): Result<Value, PlatformError> => {
	const fail = (detail: string) => err({kind: 'invalid' as const, operation, detail});
	try {
		const parsed = schema.safeParse(JSON.parse(body));
		return parsed.success ? ok(parsed.data) : fail(`the answer has an unexpected form: ${parsed.error.issues[0]?.message ?? ''}`);
	} catch {
		return fail('the answer is not JSON');
	}
};

const formatQuery = (parameters: Readonly<Record<string, string>>): string => new URLSearchParams(parameters).toString();

/**
 * Creates the HTTP client of the platform. It opens no connection before the first call.
 *
 * @param options - Address, timeout and concurrency limits.
 * @returns The platform; each call resolves to a value or a `PlatformError`.
 */
export const createHttpPlatform = (options: HttpPlatformOptions): HttpPlatform => {
	const {address, timeoutMs, clock, random, log} = options;
	const maximumActive = options.maximumActive ?? defaultMaximumActive;

	const createService = (service: FaultTarget) => {
		const agent = new Agent({keepAlive: true, maxSockets: maximumActive, scheduling: 'lifo'});
		const guard = createCallGuard({
			clock,
			random,
			timeoutMs,
			limit: createConcurrencyLimit(maximumActive, options.maximumQueued ?? defaultMaximumQueued),
			circuitBreaker: createCircuitBreaker({
				clock,
				random,
				failureThreshold,
				initialOpenMs,
				maximumOpenMs,
				onChange(state) {
					log(state === 'open' ? platformEvents.circuitOpened : platformEvents.circuitChanged, {service, state});
					options.onCircuitChange?.(service, state);
				},
			}),
			wait: async milliseconds => delay(milliseconds),
			onFinished: call => options.onFinished?.(call),
		});

		const call = ({operation, kind, validationError, ...request}: ServiceRequest): ResultAsync<ServiceResponse, PlatformError> => {
			if (validationError !== undefined) {
				return new ResultAsync(Promise.resolve(err({kind: 'invalid', operation, detail: validationError})));
			}

			const send = async (attemptMs: number) => exchange({
				address, agent, request, timeoutMs: attemptMs, maximumResponseBytes,
			});
			return new ResultAsync(guard({operation, kind, send}));
		};

		return {call, agent};
	};

	const table = createService('table');
	const objects = createService('objects');
	const instances = createService('instances');

	return {
		table: {
			read: key => table.call({
				operation: 'table.read', kind: 'read', method: 'GET', path: `/table/row?${formatQuery({key})}`,
			}).andThen(({body}) => parseResponse('table.read', readResponseSchema, body)).map(({row}) => row ?? undefined),
			scan: ({prefix, after, limit}) => table.call({
				operation: 'table.scan', kind: 'read', method: 'GET', path: `/table/rows?${formatQuery({prefix, after, limit: String(limit)})}`,
			}).andThen(({body}) => parseResponse('table.scan', scanResponseSchema, body)).map(({rows}) => rows),
			transact: transaction => table.call({
				operation: 'table.transact',
				kind: 'conditionalWrite',
				method: 'POST',
				path: '/table/transact',
				body: JSON.stringify(toWireTransaction(transaction)),
				validationError: validateTransaction(transaction),
			}).andThen(({body}) => parseResponse('table.transact', transactionResultSchema, body)),
		},
		objects: {
			put: (key, content) => objects.call({
				operation: 'objects.put',
				kind: 'idempotentWrite',
				method: 'PUT',
				path: `/objects/${encodeURIComponent(key)}`,
				body: content,
				contentType: 'text/plain; charset=utf-8',
				validationError: validateObject(key, content),
			}).map(() => undefined),
			get: key => objects.call({
				operation: 'objects.get', kind: 'read', method: 'GET', path: `/objects/${encodeURIComponent(key)}`,
			}).map(({status, body}) => status === notFound ? undefined : body),
			list: prefix => objects.call({
				operation: 'objects.list', kind: 'read', method: 'GET', path: `/objects?${formatQuery({prefix})}`,
			}).andThen(({body}) => parseResponse('objects.list', keysResponseSchema, body)).map(({keys}) => keys),
			remove: key => objects.call({
				operation: 'objects.remove', kind: 'idempotentWrite', method: 'DELETE', path: `/objects/${encodeURIComponent(key)}`,
			}).map(() => undefined),
		},
		instances: {
			list: () => instances.call({
				operation: 'instances.list', kind: 'read', method: 'GET', path: '/instances',
			}).andThen(({body}) => parseResponse('instances.list', instancesResponseSchema, body)).map(response => response.instances),
			register: instance => instances.call({
				operation: 'instances.register', kind: 'idempotentWrite', method: 'POST', path: '/instances', body: JSON.stringify(instance),
			}).map(() => undefined),
			deregister: id => instances.call({
				operation: 'instances.deregister', kind: 'idempotentWrite', method: 'DELETE', path: `/instances/${encodeURIComponent(id)}`,
			}).map(() => undefined),
		},
		close() {
			for (const {agent} of [table, objects, instances]) {
				agent.destroy();
			}
		},
	};
};
