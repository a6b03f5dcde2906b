/**
 * A platform whose calls take effect and return only when the test allows it.
 */
import {ResultAsync} from 'neverthrow';
import type {Platform} from '../platform.js';
import type {PlatformError} from '../platformError.js';

/** Points at which a call waits: before it takes effect and before its reply returns. */
export type WaitPoint = 'before' | 'after';

/**
 * Wraps a platform.
 *
 * @param platform - The platform.
 * @param wait - Awaited before each call takes effect and before its reply returns.
 * @returns The wrapped platform.
 */
export const createSteppedPlatform = (platform: Platform, wait: (waitPoint: WaitPoint) => Promise<void>): Platform => {
	const stepped = <Arguments extends unknown[], Value>(call: (...arguments_: Arguments) => ResultAsync<Value, PlatformError>) => (...arguments_: Arguments): ResultAsync<Value, PlatformError> => {
		const perform = async () => {
			await wait('before');
			const result = await call(...arguments_);
			await wait('after');
			return result;
		};

		return new ResultAsync(perform());
	};

	const {table, objects, instances} = platform;
	return {
		table: {read: stepped(table.read), scan: stepped(table.scan), transact: stepped(table.transact)},
		objects: {
			put: stepped(objects.put), get: stepped(objects.get), list: stepped(objects.list), remove: stepped(objects.remove),
		},
		instances: {list: stepped(instances.list), register: stepped(instances.register), deregister: stepped(instances.deregister)},
	};
};
