/**
 * Sizes that every adapter of the platform holds to.
 */

/** Most checks and most writes in a transaction. */
export const maximumTransactionRows = 100;

/** Longest key of a row or object, in characters. */
export const maximumKeyLength = 1024;

/** Largest value of a row, in UTF-8 bytes. */
export const maximumRowBytes = 400 * 1024;

/** Largest object, in UTF-8 bytes. */
export const maximumObjectBytes = 16 * 1024 * 1024;

/** Most rows that one scan returns. */
export const maximumScanRows = 1000;
