/**
 * The platform's HTTP interface: which call a request is, and its answer.
 */
import type {CallAccess, FaultTarget} from '@filbertwell/platform/faultPlan';
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {MemoryState} from '@filbertwell/platform/memoryState';
import {validateObject, validateTransaction} from '@filbertwell/platform/callValidation';
import {fromWireTransaction, instanceSchema, wireTransactionSchema} from '@filbertwell/platform/wire';

/** Answer of the stand-in. */
export type RouteAnswer = {
	readonly status: number;
	readonly body: string;
};

/** A call, ready to take effect. */
export type PlatformCall = {
	readonly target: FaultTarget;
	readonly operation: string;
	readonly access: CallAccess;
	/** Takes effect and gives the answer. A stale list is given as it was when the fault was set. */
	readonly run: (staleInstances: readonly ListedInstance[] | undefined) => RouteAnswer;
};

/** A request as the routes see it. */
export type RouteRequest = {
	readonly method: string;
	readonly url: URL;
	readonly body: string;
};

const json = (value: unknown): RouteAnswer => ({status: 200, body: JSON.stringify(value)});
const invalid = (detail: string): RouteAnswer => ({status: 400, body: JSON.stringify({error: detail})});
const empty: RouteAnswer = {status: 204, body: ''};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

const transact = (state: MemoryState, body: string): RouteAnswer => {
	const wire = wireTransactionSchema.safeParse(parseJson(body));
	if (!wire.success) {
		return invalid(`the transaction has an unexpected form: ${wire.error.message}`);
	}

	const transaction = fromWireTransaction(wire.data);
	const fault = validateTransaction(transaction);
	return fault === undefined ? json(state.transact(transaction)) : invalid(fault);
};

const scan = (state: MemoryState, parameters: URLSearchParams): RouteAnswer => {
	const limit = Number(parameters.get('limit') ?? '100');
	return Number.isInteger(limit) && limit > 0
		? json({rows: state.scan({prefix: parameters.get('prefix') ?? '', after: parameters.get('after') ?? '', limit})})
		: invalid('limit must be a whole number above 0');
};

const putObject = (state: MemoryState, key: string, content: string): RouteAnswer => {
	const fault = validateObject(key, content);
	if (fault !== undefined) {
		return invalid(fault);
	}

	state.putObject(key, content);
	return empty;
};

const getObject = (state: MemoryState, key: string): RouteAnswer => {
	const content = state.getObject(key);
	return content === undefined ? {status: 404, body: ''} : {status: 200, body: content};
};

const registerInstance = (state: MemoryState, body: string): RouteAnswer => {
	const instance = instanceSchema.safeParse(parseJson(body));
	if (!instance.success) {
		return invalid(`the instance has an unexpected form: ${instance.error.message}`);
	}

	state.register(instance.data);
	return empty;
};

const tableCall = (state: MemoryState, {method, url, body}: RouteRequest): PlatformCall | undefined => {
	switch (`${method} ${url.pathname}`) {
		case 'GET /table/row': {
			return {
				target: 'table', operation: 'table.read', access: 'read', run: () => json({row: state.read(url.searchParams.get('key') ?? '') ?? null}),
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
					target: 'objects', operation: 'objects.list', access: 'read', run: () => json({keys: state.listObjects(url.searchParams.get('prefix') ?? '')}),
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
					return empty;
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
				target: 'instances', operation: 'instances.list', access: 'read', run: stale => json({instances: stale ?? state.listInstances()}),
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
					return empty;
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
 * Finds the call that a request makes.
 *
 * @param state - State that the call works on.
 * @param request - Method, address and body.
 * @returns The call, or `undefined` if the interface has none such.
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
