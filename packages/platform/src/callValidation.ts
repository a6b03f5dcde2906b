/**
 * Validates transactions and objects before they are sent or executed.
 */
import {Buffer} from 'node:buffer';
import {
	maximumKeyLength, maximumObjectBytes, maximumRowBytes, maximumTransactionRows,
} from './platformLimits.js';
import type {Transaction} from './table.js';

const validateKey = (key: string): string | undefined => {
	if (key === '') {
		return 'the key is empty; give it at least one character';
	}

	if (key.length > maximumKeyLength) {
		return `the key "${key.slice(0, 40)}..." has ${key.length} characters; the limit is ${maximumKeyLength}`;
	}

	return undefined;
};

const findDuplicateKey = (keys: readonly string[]): string | undefined => {
	const seen = new Set<string>();
	return keys.find(key => {
		const isDuplicate = seen.has(key);
		seen.add(key);
		return isDuplicate;
	});
};

const validateWrite = (key: string, value: string | undefined): string | undefined => {
	const bytes = value === undefined ? 0 : Buffer.byteLength(value);
	return bytes > maximumRowBytes
		? `the value of row "${key}" has ${bytes} bytes; the limit is ${maximumRowBytes}`
		: validateKey(key);
};

/**
 * Validates keys, sizes and number of rows of a transaction.
 *
 * @param transaction - The transaction.
 * @returns Why the transaction is invalid, with the limit, or `undefined` if it is valid.
 */
export const validateTransaction = ({checks, writes}: Transaction): string | undefined => {
	if (checks.length > maximumTransactionRows || writes.length > maximumTransactionRows) {
		return `the transaction has ${checks.length} checks and ${writes.length} writes; the limit is ${maximumTransactionRows} of each`;
	}

	const duplicate = findDuplicateKey(checks.map(check => check.key)) ?? findDuplicateKey(writes.map(write => write.key));
	if (duplicate !== undefined) {
		return `row "${duplicate}" appears twice in the checks or in the writes; name it once`;
	}

	const errors = [
		...checks.map(check => validateKey(check.key)),
		...writes.map(write => validateWrite(write.key, write.value)),
	];
	return errors.find(error => error !== undefined);
};

/**
 * Validates the key and the size of an object.
 *
 * @param key - Key of the object.
 * @param content - Content of the object; empty for reads.
 * @returns Why the object is invalid, with the limit, or `undefined` if it is valid.
 */
export const validateObject = (key: string, content: string): string | undefined => {
	const bytes = Buffer.byteLength(content);
	return bytes > maximumObjectBytes
		? `object "${key}" has ${bytes} bytes; the limit is ${maximumObjectBytes}`
		: validateKey(key);
};
