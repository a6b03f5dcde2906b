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
import {failed, type CommandFailure} from './commandFailure.js';

/**
 * Reads and checks an intent.
 *
 * @param path - Path of the JSON file, or `-` for standard input.
 * @returns The intent, or why it is not usable.
 */
export const readIntentFile = async (path: string): Promise<Result<Intent, CommandFailure>> => {
	let text: string;
	try {
		text = path === '-' ? await readText(process.stdin) : await readFile(path, 'utf8');
	} catch (error) {
		return failed('invalidInput', `intent ${path} can't be read (${(error as NodeJS.ErrnoException).code ?? String(error)}); check the path, or print an intent there first`);
	}

	const intent = parseIntent(text);
	return intent.isOk()
		? ok(intent.value)
		: failed('invalidInput', `intent ${path} is not usable, see each problem below; nothing was changed`, intent.error.map(problem => formatIntentProblem(problem)), intent.error);
};
