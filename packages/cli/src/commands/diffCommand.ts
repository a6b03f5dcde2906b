/**
 * `filbertwell diff`: compares an intent file with the accepted configuration.
 */
import {diffIntent} from '@filbertwell/intent/diffIntent';
import {err, ok} from 'neverthrow';
import type {CommandModule} from 'yargs';
import type {CommandContext, GlobalOptions} from '../commandContext.js';
import type {CommandOutcome} from '../commandFailure.js';
import {formatChanges} from '../formatChanges.js';
import {readAccepted} from '../readAccepted.js';
import {intentPositional} from '../intentPositional.js';
import {readIntentFile} from '../readIntentFile.js';
import {runCommand} from '../runCommand.js';

type Options = GlobalOptions & {readonly intent: string};

const showDiff = async (context: CommandContext, path: string): Promise<CommandOutcome> => {
	const intent = await readIntentFile(path);
	if (intent.isErr()) {
		return err(intent.error);
	}

	const accepted = await readAccepted(context);
	if (accepted.isErr()) {
		return err(accepted.error);
	}

	if (accepted.value === undefined) {
		return ok({text: 'no configuration is accepted yet; the whole intent is new', data: {version: 0, changes: undefined}});
	}

	const {version, author, intent: before} = accepted.value;
	const changes = diffIntent(before, intent.value);
	return ok({
		text: [`against version ${version} by ${author}:`, ...formatChanges(changes, context.palette)].join('\n'),
		data: {version, changes},
	});
};

/** Command definition of `diff`. */
export const diffCommand: CommandModule<GlobalOptions, Options> = {
	command: 'diff <intent>',
	describe: 'Show what an intent file would change',
	builder: command => command
		.positional('intent', intentPositional)
		.example('$0 diff intent.json', 'Compare a file with the accepted configuration'),
	async handler(options) {
		await runCommand(options, async context => showDiff(context, options.intent));
	},
};
