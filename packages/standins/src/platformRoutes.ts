/**
 * HTTP routes of the platform stand-in: maps a request to an operation on the in-memory state.
 */
import type {CallAccess, FaultTarget} from '@filbertwell/platform/faultPlan';
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {MemoryState} from '@filbertwell/platform/memoryState';
import {validateObject, validateTransaction} from '@filbertwell/platform/callValidation';
import {fromWireTransaction, instanceSchema, wireTransactionSchema} from '@filbertwell/platform/wire';

/** Status and body of an HTTP response. */
export type RouteResponse = {
	readonly status: number;
	readonly body: string;
};

/** An operation on the platform that a request asks for and that has not run yet. */
export type PlatformCall = {
	readonly target: FaultTarget;
	readonly operation: string;
	readonly access: CallAccess;
	/** Runs the operation. `staleInstances`, if given, is returned in place of the current instance list. */
	readonly run: (staleInstances: readonly ListedInstance[] | undefined) => RouteResponse;
};

/** Parts of an HTTP request that the routes read. */
export type RouteRequest = {
	readonly method: string;
	readonly url: URL;
	readonly body: string;
};

const jsonResponse = (value: unknown): RouteResponse => ({status: 200, body: JSON.stringify(value)});
const badRequest = (detail: string): RouteResponse => ({status: 400, body: JSON.stringify({error: detail})});
const noContent: RouteResponse = {status: 204, body: ''};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

const transact = (state: MemoryState, body: string): RouteResponse => {
	const wire = wireTransactionSchema.safeParse(parseJson(body));
	if (!wire.success) {
		return badRequest(`the transaction has an unexpected form: ${wire.error.message}`);
	}

	const transaction = fromWireTransaction(wire.data);
	const problem = validateTransaction(transaction);
	return problem === undefined ? jsonResponse(state.transact(transaction)) : badRequest(problem);
};

const scan = (state: MemoryState, parameters: URLSearchParams): RouteResponse => {
	const limit = Number(parameters.get('limit') ?? '100');
	return Number.isInteger(limit) && limit > 0
		? jsonResponse({rows: state.scan({prefix: parameters.get('prefix') ?? '', after: parameters.get('after') ?? '', limit})})
		: badRequest('limit must be a whole number above 0');
};

const putObject = (state: MemoryState, key: string, content: string): RouteResponse => {
	const problem = validateObject(key, content);
	if (problem !== undefined) {
		return badRequest(problem);
	}

	state.putObject(key, content);
	return noContent;
};

const getObject = (state: MemoryState, key: string): RouteResponse => {
	const content = state.getObject(key);
	return content === undefined ? {status: 404, body: ''} : {status: 200, body: content};
};

const registerInstance = (state: MemoryState, body: string): RouteResponse => {
	const instance = instanceSchema.safeParse(parseJson(body));
	if (!instance.success) {
		return badRequest(`the instance has an unexpected form: ${instance.error.message}`);
	}

	state.register(instance.data);
	return noContent;
};

const tableCall = (state: MemoryState, {method, url, body}: RouteRequest): PlatformCall | undefined => {
	switch (`${method} ${url.pathname}`) {
		case 'GET /table/row': {
			return {
				target: 'table', operation: 'table.read', access: 'read', run: () => jsonResponse({row: state.read(url.searchParams.get('key') ?? '') ?? null}),
			};
		}

		case 'GET /table/rows': {
			return {
				target: 'table', operation: 'table.scan', access: 'read', run: () => scan(state, url.searchParams),
			};
		}

		case 'POST /table/transact': {
			return {
				target: 'table', operation: 'table.transact', access: 'write', run: () => transact(state, body),
			};
		}

		default: {
			return undefined;
		}
	}
};

const objectCall = (state: MemoryState, {method, url, body}: RouteRequest, key: string): PlatformCall | undefined => {
	switch (method) {
		case 'GET': {
			return key === ''
				? {
					target: 'objects', operation: 'objects.list', access: 'read', run: () => jsonResponse({keys: state.listObjects(url.searchParams.get('prefix') ?? '')}),
				}
				: {
					target: 'objects', operation: 'objects.get', access: 'read', run: () => getObject(state, key),
				};
		}

		case 'PUT': {
			return {
				target: 'objects', operation: 'objects.put', access: 'write', run: () => putObject(state, key, body),
			};
		}

		case 'DELETE': {
			return {
				target: 'objects', operation: 'objects.remove', access: 'write', run() {
					state.removeObject(key);
					return noContent;
				},
			};
		}

		default: {
			return undefined;
		}
	}
};

const instanceCall = (state: MemoryState, {method, body}: RouteRequest, id: string): PlatformCall | undefined => {
	switch (method) {
		case 'GET': {
			return {
				target: 'instances', operation: 'instances.list', access: 'read', run: stale => jsonResponse({instances: stale ?? state.listInstances()}),
			};
		}

		case 'POST': {
			return {
				target: 'instances', operation: 'instances.register', access: 'write', run: () => registerInstance(state, body),
			};
		}

		case 'DELETE': {
			return {
				target: 'instances', operation: 'instances.deregister', access: 'write', run() {
					state.deregister(id);
					return noContent;
				},
			};
		}

		default: {
			return undefined;
		}
	}
};

const decodeSegment = (text: string): string | undefined => {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
};

/**
 * Finds the operation that a request asks for.
 *
 * @param state - State that the operation reads or changes.
 * @param request - Method, URL and body.
 * @returns The operation, or `undefined` if no route matches.
 */
export const findCall = (state: MemoryState, request: RouteRequest): PlatformCall | undefined => {
	const [, root = '', ...rest] = request.url.pathname.split('/');
	const name = decodeSegment(rest.join('/'));
	if (name === undefined) {
		return undefined;
	}

	switch (root) {
		case 'table': {
			return tableCall(state, request);
		}

		case 'objects': {
			return objectCall(state, request, name);
		}

		case 'instances': {
			return instanceCall(state, request, name);
		}

		default: {
			return undefined;
		}
	}
};
