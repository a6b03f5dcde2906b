/**
 * Output of an intent as canonical JSON, with sorted keys and lists in their given order.
 */
import process from 'node:process';
import type {Intent} from '@filbertwell/types/intent';
import stableStringify from 'json-stable-stringify';

/**
 * Formats an intent as canonical JSON, so that equal intents produce the same text.
 *
 * @param intent - The intent.
 * @returns The JSON, indented with tabs and with a trailing newline.
 */
export const formatIntent = (intent: Intent): string => `${stableStringify(intent, {space: '\t'})}\n`;

/**
 * Prints an intent to standard output, in the form that `filbertwell apply` reads.
 *
 * @param intent - The intent.
 */
export const printIntent = (intent: Intent): void => {
	process.stdout.write(formatIntent(intent));
};
