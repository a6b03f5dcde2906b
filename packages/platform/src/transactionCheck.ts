/**
 * Checks the form of calls before they are sent or run.
 */
import {Buffer} from 'node:buffer';
import {
	maximumKeyLength, maximumObjectBytes, maximumRowBytes, maximumTransactionRows,
} from './platformLimits.js';
import type {Transaction} from './table.js';

const keyFault = (key: string): string | undefined => {
	if (key === '') {
		return 'the key is empty; give it at least one character';
	}

	if (key.length > maximumKeyLength) {
		return `the key "${key.slice(0, 40)}..." has ${key.length} characters; the limit is ${maximumKeyLength}`;
	}

	return undefined;
};

const duplicateKey = (keys: readonly string[]): string | undefined => {
	const seen = new Set<string>();
	return keys.find(key => {
		const known = seen.has(key);
		seen.add(key);
		return known;
	});
};

const writeFault = (key: string, value: string | undefined): string | undefined => {
	const bytes = value === undefined ? 0 : Buffer.byteLength(value);
	return bytes > maximumRowBytes
		? `the value of row "${key}" has ${bytes} bytes; the limit is ${maximumRowBytes}`
		: keyFault(key);
};

/**
 * Looks for a fault in a transaction's form.
 *
 * @param transaction - The transaction.
 * @returns What is wrong with it and the limit, or `undefined`.
 */
export const transactionFault = ({checks, writes}: Transaction): string | undefined => {
	if (checks.length > maximumTransactionRows || writes.length > maximumTransactionRows) {
		return `the transaction has ${checks.length} checks and ${writes.length} writes; the limit is ${maximumTransactionRows} of each`;
	}

	const duplicate = duplicateKey(checks.map(check => check.key)) ?? duplicateKey(writes.map(write => write.key));
	if (duplicate !== undefined) {
		return `row "${duplicate}" appears twice in the checks or in the writes; name it once`;
	}

	const faults = [
		...checks.map(check => keyFault(check.key)),
		...writes.map(write => writeFault(write.key, write.value)),
	];
	return faults.find(fault => fault !== undefined);
};

/**
 * Looks for a fault in an object's key and content.
 *
 * @param key - Key of the object.
 * @param content - Its content; empty for reads.
 * @returns What is wrong with it and the limit, or `undefined`.
 */
export const objectFault = (key: string, content: string): string | undefined => {
	const bytes = Buffer.byteLength(content);
	return bytes > maximumObjectBytes
		? `object "${key}" has ${bytes} bytes; the limit is ${maximumObjectBytes}`
		: keyFault(key);
};
