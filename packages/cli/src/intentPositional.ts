/**
 * The positional argument that names an intent file.
 */
import process from 'node:process';

/** Restores the argument `-`, which the parser passes as an empty string. */
const restoreDash = (path: string): string => path === '' && process.argv.includes('-') ? '-' : path;

/** Options of the positional argument `intent`. */
export const intentPositional = {
	type: 'string', demandOption: true, describe: 'JSON file, or - for standard input', coerce: restoreDash,
} as const;
