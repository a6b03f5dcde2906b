/**
 * The platform's object store as a source of parts.
 */
import type {Platform} from '@filbertwell/platform/platform';
import {createPartFetcher, type PartFetcher, type PartSource} from './partFetcher.js';
import {partKey} from './partReference.js';

/**
 * Creates a source that fetches parts from the object store.
 *
 * @param platform - The platform.
 * @returns The source.
 */
export const createStoreSource = (platform: Platform): PartSource => ({
	origin: 'store',
	fetch: reference => platform.objects.get(partKey(reference)),
});

/**
 * Creates a fetcher that uses only the object store and does not log corrupt parts.
 *
 * @param platform - The platform.
 * @returns The fetcher.
 */
export const createStoreFetcher = (platform: Platform): PartFetcher => createPartFetcher([createStoreSource(platform)], () => undefined);
