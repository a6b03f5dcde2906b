/**
 * Size limits that every implementation of the platform enforces.
 */

/** Maximum number of checks in a transaction, and of writes. */
export const maximumTransactionRows = 100;

/** Maximum length of the key of a row or object, in characters. */
export const maximumKeyLength = 1024;

/** Maximum size of a row's value, in UTF-8 bytes. */
export const maximumRowBytes = 400 * 1024;

/** Maximum size of an object, in UTF-8 bytes. */
export const maximumObjectBytes = 16 * 1024 * 1024;

/** Maximum number of rows that a scan returns. */
export const maximumScanRows = 1000;
