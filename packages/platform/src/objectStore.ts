/**
 * Interface of the platform's object store.
 */
import type {ResultAsync} from 'neverthrow';
import type {PlatformError} from './platformError.js';

/** The object store. Each key is written with one content only; writing the same content again is harmless. */
export type ObjectStore = {
	readonly put: (key: string, content: string) => ResultAsync<void, PlatformError>;
	/** Reads an object; `undefined` if it does not exist. */
	readonly get: (key: string) => ResultAsync<string | undefined, PlatformError>;
	readonly list: (prefix: string) => ResultAsync<readonly string[], PlatformError>;
	readonly remove: (key: string) => ResultAsync<void, PlatformError>;
};
