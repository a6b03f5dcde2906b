/**
 * Reads an intent from a file or from standard input.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readText} from 'node:stream/consumers';
import {parseIntent} from '@filbertwell/intent/checkIntent';
import {formatIntentProblem} from '@filbertwell/intent/intentProblem';
import type {Intent} from '@filbertwell/types/intent';
import {ok, type Result} from 'neverthrow';
import {createFailure, type CommandFailure} from './commandFailure.js';

/**
 * Reads and validates an intent.
 *
 * @param path - Path of the JSON file, or `-` for standard input.
 * @returns The intent, or a failure if it can't be read or is invalid.
 */
export const readIntentFile = async (path: string): Promise<Result<Intent, CommandFailure>> => {
	let text: string;
	try {
		text = path === '-' ? await readText(process.stdin) : await readFile(path, 'utf8');
	} catch (error) {
		return createFailure('invalidInput', `intent ${path} can't be read (${(error as NodeJS.ErrnoException).code ?? String(error)}); check the path, or write an intent to that file first`);
	}

	const intent = parseIntent(text);
	return intent.isOk()
		? ok(intent.value)
		: createFailure('invalidInput', `intent ${path} is invalid, see the problems below; nothing was changed`, intent.error.map(problem => formatIntentProblem(problem)), intent.error);
};
