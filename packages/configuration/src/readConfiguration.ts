/**
 * Reads accepted configurations and their records from the platform.
 */
import type {Platform} from '@filbertwell/platform/platform';
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {Configuration} from '@filbertwell/types/configuration';
import {monotonicClock} from '@filbertwell/utils/clock';
import {
	err, ok, okAsync, ResultAsync, type Result,
} from 'neverthrow';
import {assembleConfiguration, type AssemblyError} from './assembleConfiguration.js';
import {createYieldIfDue} from './cooperativeWork.js';
import {
	headKey, parseHead, versionKey, versionPrefix, type Head, type MalformedHead,
} from './head.js';
import {createStoreFetcher} from './storedParts.js';

/** Error of reading a head: the platform call failed or the row is malformed. */
export type HeadError = PlatformError | MalformedHead;

/** Error of reading a configuration: its head could not be read or one of its parts not fetched or parsed. */
export type ReadError = HeadError | AssemblyError;

const readRecord = (platform: Platform, key: string): ResultAsync<Head | undefined, HeadError> => platform.table.read(key)
	.andThen((row): Result<Head | undefined, HeadError> => row === undefined ? ok(undefined) : parseHead(row.value));

/**
 * Reads the head of the accepted configuration.
 *
 * @param platform - The platform.
 * @returns The head, or `undefined` before the first acceptance.
 */
export const readHead = (platform: Platform): ResultAsync<Head | undefined, HeadError> => readRecord(platform, headKey);

/**
 * Reads the record of a version.
 *
 * @param platform - The platform.
 * @param version - The version.
 * @returns The record, or `undefined` if the version does not exist or was removed.
 */
export const readVersion = (platform: Platform, version: number): ResultAsync<Head | undefined, HeadError> => readRecord(platform, versionKey(version));

/**
 * Reads a configuration and assembles it from its parts.
 *
 * @param platform - The platform.
 * @param version - Version to read; the accepted one if omitted.
 * @returns The configuration, or `undefined` if there is no such version.
 */
export const readConfiguration = (platform: Platform, version?: number): ResultAsync<Configuration | undefined, ReadError> => {
	const record: ResultAsync<Head | undefined, ReadError> = version === undefined ? readHead(platform) : readVersion(platform, version);
	return record.andThen((head): ResultAsync<Configuration | undefined, ReadError> => {
		if (head === undefined) {
			return okAsync(undefined);
		}

		const {fetch} = createStoreFetcher(platform);
		const assembled = assembleConfiguration({
			head, fetch, previous: undefined, yieldIfDue: createYieldIfDue(monotonicClock),
		});
		return new ResultAsync(assembled).map(({configuration}) => configuration);
	});
};

const readRecords = async (platform: Platform, limit: number): Promise<Result<readonly Head[], HeadError>> => {
	const head = await readHead(platform);
	if (head.isErr()) {
		return err(head.error);
	}

	const newest = head.value?.version ?? 0;
	const after = versionKey(Math.max(0, newest - limit));
	const rows = await platform.table.scan({prefix: versionPrefix, after, limit});
	return rows.map(found => found
		.map(row => parseHead(row.value))
		.filter(record => record.isOk())
		.map(record => record.value)
		.toReversed());
};

/**
 * Reads the records of the latest versions.
 *
 * @param platform - The platform.
 * @param limit - Maximum number of records to read, up to 1000.
 * @returns The records, newest first; those that cannot be parsed are omitted.
 */
export const readHistory = (platform: Platform, limit: number): ResultAsync<readonly Head[], HeadError> => new ResultAsync(readRecords(platform, limit));
