/**
 * Reads log entries from files or standard input.
 */
import {createReadStream} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {ok, type Result} from 'neverthrow';
import {createFailure, type CommandFailure} from './commandFailure.js';
import {type LogEntry, parseLogLine} from './requestTrace.js';

/**
 * Reads all log entries of several files.
 *
 * @param files - Paths; `-` or an empty list for standard input.
 * @returns The entries without lines of other formats, or a failure that names a file that can't be read.
 */
export const readLogFiles = async (files: readonly string[]): Promise<Result<LogEntry[], CommandFailure>> => {
	const entries: LogEntry[] = [];
	for (const file of files.length === 0 ? ['-'] : files) {
		const input = file === '-' ? process.stdin : createReadStream(file, 'utf8');
		const source = file === '-' ? 'standard input' : path.basename(file);
		try {
			for await (const line of createInterface({input, crlfDelay: Number.POSITIVE_INFINITY})) { // eslint-disable-line no-await-in-loop -- files are read in sequence
				const entry = parseLogLine(line, source);
				if (entry !== undefined) {
					entries.push(entry);
				}
			}
		} catch (error) {
			return createFailure('invalidInput', `log ${file} can't be read (${(error as NodeJS.ErrnoException).code ?? String(error)}); check the path`);
		}
	}

	return ok(entries);
};
