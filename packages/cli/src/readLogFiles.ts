/**
 * Reads log files, or standard input.
 */
import {createReadStream} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {ok, type Result} from 'neverthrow';
import {failed, type CommandFailure} from './commandFailure.js';
import {type LogEntry, parseLogLine} from './requestTrace.js';

/**
 * Reads all log lines of some files.
 *
 * @param files - Paths; `-` or none for standard input.
 * @returns The entries, or which file can't be read.
 */
export const readLogFiles = async (files: readonly string[]): Promise<Result<LogEntry[], CommandFailure>> => {
	const entries: LogEntry[] = [];
	for (const file of files.length === 0 ? ['-'] : files) {
		const input = file === '-' ? process.stdin : createReadStream(file, 'utf8');
		const source = file === '-' ? 'standard input' : path.basename(file);
		try {
			for await (const line of createInterface({input, crlfDelay: Number.POSITIVE_INFINITY})) { // eslint-disable-line no-await-in-loop -- one file after the other
				const entry = parseLogLine(line, source);
				if (entry !== undefined) {
					entries.push(entry);
				}
			}
		} catch (error) {
			return failed('invalidInput', `log ${file} can't be read (${(error as NodeJS.ErrnoException).code ?? String(error)}); check the path`);
		}
	}

	return ok(entries);
};
