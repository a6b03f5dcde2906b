/**
 * Parts in the platform's object store.
 */
import type {Platform} from '@filbertwell/platform/platform';
import {createPartFetcher, type PartFetcher, type PartSource} from './fetchParts.js';
import {partKey} from './partReference.js';

/**
 * Makes the object store a source of parts.
 *
 * @param platform - The platform.
 * @returns The source.
 */
export const createStoreSource = (platform: Platform): PartSource => ({
	origin: 'store',
	fetch: reference => platform.objects.get(partKey(reference)),
});

/**
 * Creates a fetcher that knows only the object store.
 *
 * @param platform - The platform.
 * @returns The fetcher.
 */
export const createStoreFetcher = (platform: Platform): PartFetcher => createPartFetcher([createStoreSource(platform)], () => undefined);
