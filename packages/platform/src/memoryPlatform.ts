/**
 * In-memory platform with fault injection, for tests.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@filbertwell/utils/random';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {
	createFaultPlan, type CallAccess, type Fault, type FaultTarget,
} from './faultPlan.js';
import {createMemoryState, type MemoryState} from './memoryState.js';
import type {Platform} from './platform.js';
import type {PlatformError} from './platformError.js';
import {validateObject, validateTransaction} from './callValidation.js';

export type MemoryPlatformOptions = {
	/** Seed of the random numbers that decide about faults with a probability. */
	readonly seed?: number;
	/** State to use; several platforms may share one. */
	readonly state?: MemoryState;
};

/** In-memory platform with its state. */
export type MemoryPlatform = Platform & {
	readonly state: MemoryState;
	/** Replaces all faults. */
	readonly setFaults: (faults: readonly Fault[]) => void;
};

type Call<Value> = {
	readonly target: FaultTarget;
	readonly operation: string;
	readonly access: CallAccess;
	/** Why the call is malformed; `undefined` if it is well formed. */
	readonly validationError?: string | undefined;
	readonly run: (stale: boolean) => Value;
};

/**
 * Creates an in-memory platform.
 *
 * @param options - Seed and state.
 * @returns The platform; it has no faults until `setFaults` is called.
 */
export const createMemoryPlatform = ({seed = 1, state = createMemoryState()}: MemoryPlatformOptions = {}): MemoryPlatform => {
	const plan = createFaultPlan(createRandom(seed));
	let staleInstances = state.listInstances();

	const perform = async <Value>({target, operation, access, validationError, run}: Call<Value>): Promise<Result<Value, PlatformError>> => {
		const fail = (kind: PlatformError['kind'], detail: string) => err({kind, operation, detail});
		// As over a network, a call never completes synchronously.
		await Promise.resolve();
		if (validationError !== undefined) {
			return fail('invalid', validationError);
		}

		const faults = plan.draw(target, access);
		if (faults.delayMs > 0) {
			await delay(faults.delayMs);
		}

		if (faults.isPaused) {
			await plan.untilReplaced();
		}

		if (faults.isRejected) {
			return fail('unavailable', 'refused by an injected fault');
		}

		if (faults.isDown) {
			return fail(access === 'read' ? 'unavailable' : 'unknown', 'connection closed by an injected fault');
		}

		const value = run(faults.isListStale);
		if (faults.isReplyLost) {
			return fail(access === 'read' ? 'unavailable' : 'unknown', 'reply lost by an injected fault');
		}

		return ok(value);
	};

	const call = <Value>(request: Call<Value>) => new ResultAsync(perform(request));

	return {
		state,
		setFaults(faults) {
			staleInstances = state.listInstances();
			plan.set(faults);
		},
		table: {
			read: key => call({
				target: 'table', operation: 'table.read', access: 'read', run: () => state.read(key),
			}),
			scan: scan => call({
				target: 'table', operation: 'table.scan', access: 'read', run: () => state.scan(scan),
			}),
			transact: transaction => call({
				target: 'table', operation: 'table.transact', access: 'write', validationError: validateTransaction(transaction), run: () => state.transact(transaction),
			}),
		},
		objects: {
			put: (key, content) => call({
				target: 'objects', operation: 'objects.put', access: 'write', validationError: validateObject(key, content), run() {
					state.putObject(key, content);
				},
			}),
			get: key => call({
				target: 'objects', operation: 'objects.get', access: 'read', run: () => state.getObject(key),
			}),
			list: prefix => call({
				target: 'objects', operation: 'objects.list', access: 'read', run: () => state.listObjects(prefix),
			}),
			remove: key => call({
				target: 'objects', operation: 'objects.remove', access: 'write', run() {
					state.removeObject(key);
				},
			}),
		},
		instances: {
			list: () => call({
				target: 'instances', operation: 'instances.list', access: 'read', run: stale => stale ? staleInstances : state.listInstances(),
			}),
			register: instance => call({
				target: 'instances', operation: 'instances.register', access: 'write', run() {
					state.register(instance);
				},
			}),
			deregister: id => call({
				target: 'instances', operation: 'instances.deregister', access: 'write', run() {
					state.deregister(id);
				},
			}),
		},
	};
};
