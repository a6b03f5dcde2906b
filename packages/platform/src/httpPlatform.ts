/**
 * The platform over HTTP with kept-alive connections.
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
import type {z} from 'zod';
import {createCircuit, type CircuitState} from './circuit.js';
import {createConcurrencyLimit} from './concurrencyLimit.js';
import type {FaultTarget} from './faultPlan.js';
import {
	createCallGuard, type Answer, type CallKind, type FinishedCall,
} from './guardedCall.js';
import {exchange, type ExchangeRequest} from './httpExchange.js';
import type {Platform} from './platform.js';
import type {PlatformError} from './platformError.js';
import {maximumObjectBytes} from './platformLimits.js';
import {objectFault, transactionFault} from './transactionCheck.js';
import {
	instancesAnswerSchema, keysAnswerSchema, readAnswerSchema, scanAnswerSchema, toWireTransaction, transactionResultSchema,
} from './wire.js';

/** Parameters of the HTTP client. */
export type HttpPlatformOptions = {
	readonly address: SocketAddress;
	/** Limit of a whole call in milliseconds, queue and retries included. */
	readonly timeoutMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Calls in progress at once to each of table, objects and instances; 16 if left out. */
	readonly maximumActive?: number;
	/** Calls that may wait for a place; 256 if left out. */
	readonly maximumQueued?: number;
	/** Called after each call, for metrics. */
	readonly onFinished?: (call: FinishedCall) => void;
	/** Called on each change of a circuit breaker, for metrics. */
	readonly onCircuit?: (service: FaultTarget, state: CircuitState) => void;
};

/** The platform over HTTP. */
export type HttpPlatform = Platform & {
	/** Closes the connections; calls in progress fail. */
	readonly close: () => void;
};

const defaultMaximumActive = 16;
const defaultMaximumQueued = 256;
const failureThreshold = 8;
const initialOpenMs = 250;
const maximumOpenMs = 5000;
/** Room for the escapes of JSON around the largest content. */
const maximumAnswerBytes = 2 * maximumObjectBytes;
const notFound = 404;

type Request = ExchangeRequest & {
	readonly operation: string;
	readonly kind: CallKind;
	readonly formFault?: string | undefined;
};

const parseAnswer = <Value>(operation: string, schema: z.ZodType<Value>, body: string): Result<Value, PlatformError> => {
	const fail = (detail: string) => err({kind: 'invalid' as const, operation, detail});
	try {
		const parsed = schema.safeParse(JSON.parse(body));
		return parsed.success ? ok(parsed.data) : fail(`the answer has an unexpected form: ${parsed.error.issues[0]?.message ?? ''}`);
	} catch {
		return fail('the answer is not JSON');
	}
};

const queryOf = (parameters: Readonly<Record<string, string>>): string => new URLSearchParams(parameters).toString();

/**
 * Creates the HTTP client of the platform.
 *
 * @param options - Address, time limit and limits of concurrency.
 * @returns The platform; each call ends with a value or a `PlatformError`.
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
			circuit: createCircuit({
				clock,
				random,
				failureThreshold,
				initialOpenMs,
				maximumOpenMs,
				onChange(state) {
					log(state === 'open' ? platformEvents.circuitOpened : platformEvents.circuitChanged, {service, state});
					options.onCircuit?.(service, state);
				},
			}),
			wait: async milliseconds => delay(milliseconds),
			onFinished: call => options.onFinished?.(call),
		});

		const call = ({operation, kind, formFault, ...request}: Request): ResultAsync<Answer, PlatformError> => {
			if (formFault !== undefined) {
				return new ResultAsync(Promise.resolve(err({kind: 'invalid', operation, detail: formFault})));
			}

			const send = async (attemptMs: number) => exchange({
				address, agent, request, timeoutMs: attemptMs, maximumAnswerBytes,
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
				operation: 'table.read', kind: 'read', method: 'GET', path: `/table/row?${queryOf({key})}`,
			}).andThen(({body}) => parseAnswer('table.read', readAnswerSchema, body)).map(({row}) => row ?? undefined),
			scan: ({prefix, after, limit}) => table.call({
				operation: 'table.scan', kind: 'read', method: 'GET', path: `/table/rows?${queryOf({prefix, after, limit: String(limit)})}`,
			}).andThen(({body}) => parseAnswer('table.scan', scanAnswerSchema, body)).map(({rows}) => rows),
			transact: transaction => table.call({
				operation: 'table.transact',
				kind: 'conditionalWrite',
				method: 'POST',
				path: '/table/transact',
				body: JSON.stringify(toWireTransaction(transaction)),
				formFault: transactionFault(transaction),
			}).andThen(({body}) => parseAnswer('table.transact', transactionResultSchema, body)),
		},
		objects: {
			put: (key, content) => objects.call({
				operation: 'objects.put',
				kind: 'idempotentWrite',
				method: 'PUT',
				path: `/objects/${encodeURIComponent(key)}`,
				body: content,
				contentType: 'text/plain; charset=utf-8',
				formFault: objectFault(key, content),
			}).map(() => undefined),
			get: key => objects.call({
				operation: 'objects.get', kind: 'read', method: 'GET', path: `/objects/${encodeURIComponent(key)}`,
			}).map(({status, body}) => status === notFound ? undefined : body),
			list: prefix => objects.call({
				operation: 'objects.list', kind: 'read', method: 'GET', path: `/objects?${queryOf({prefix})}`,
			}).andThen(({body}) => parseAnswer('objects.list', keysAnswerSchema, body)).map(({keys}) => keys),
			remove: key => objects.call({
				operation: 'objects.remove', kind: 'idempotentWrite', method: 'DELETE', path: `/objects/${encodeURIComponent(key)}`,
			}).map(() => undefined),
		},
		instances: {
			list: () => instances.call({
				operation: 'instances.list', kind: 'read', method: 'GET', path: '/instances',
			}).andThen(({body}) => parseAnswer('instances.list', instancesAnswerSchema, body)).map(answer => answer.instances),
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
