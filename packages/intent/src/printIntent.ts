/**
 * Canonical JSON of an intent: keys in alphabetical order, lists in the order given.
 */
import process from 'node:process';
import type {Intent} from '@filbertwell/types/intent';
import stableStringify from 'json-stable-stringify';

/**
 * Formats an intent as canonical JSON; equal intents give equal text.
 *
 * @param intent - The intent.
 * @returns The JSON, indented by tabs, with a newline at its end.
 */
export const formatIntent = (intent: Intent): string => `${stableStringify(intent, {space: '\t'})}\n`;

/**
 * Prints an intent on standard output, for `filbertwell apply`.
 *
 * @param intent - The intent.
 */
export const printIntent = (intent: Intent): void => {
	process.stdout.write(formatIntent(intent));
};
