/**
 * `filbertwell apply`: makes an intent the accepted configuration.
 */
import {diffIntent} from '@filbertwell/intent/diffIntent';
import type {Intent} from '@filbertwell/types/intent';
import {err, ok, type Result} from 'neverthrow';
import type {CommandModule} from 'yargs';
import {withChangeOptions} from '../changeOptions.js';
import type {CommandContext, GlobalOptions} from '../commandContext.js';
import {failed, type CommandFailure} from '../commandFailure.js';
import {formatChanges} from '../formatChanges.js';
import {readAccepted} from '../readAccepted.js';
import {intentPositional} from '../intentPositional.js';
import {readIntentFile} from '../readIntentFile.js';
import {runCommand} from '../runCommand.js';
import {submitChange, type Change, type ChangeOptions} from '../submitChange.js';

type Options = GlobalOptions & ChangeOptions & {
	readonly intent: string;
	readonly removeDrains: boolean;
};

/** Drains and shifts are often set by command, so that a file printed earlier does not know of them. */
const removedMoves = (before: Intent, after: Intent) => diffIntent(before, after)
	.filter(({kind, path}) => kind === 'removed' && (path.startsWith('drains.') || path.startsWith('shifts.')));

const makeChange = async (context: CommandContext, {intent: path, removeDrains}: Options): Promise<Result<Change, CommandFailure>> => {
	const intent = await readIntentFile(path);
	if (intent.isErr()) {
		return err(intent.error);
	}

	const base = await readAccepted(context);
	if (base.isErr()) {
		return err(base.error);
	}

	const removed = base.value === undefined ? [] : removedMoves(base.value.intent, intent.value);
	return removed.length === 0 || removeDrains
		? ok({base: base.value, intent: intent.value})
		: failed(
			'conflict',
			`intent ${path} would remove drains or shifts that are accepted; add them to the intent, end them with undrain or shift, or pass --remove-drains`,
			formatChanges(removed, context.palette),
			{changes: removed},
		);
};

/** The command `apply`. */
export const applyCommand: CommandModule<GlobalOptions, Options> = {
	command: 'apply <intent>',
	describe: 'Make an intent file the accepted configuration',
	builder: command => withChangeOptions(command)
		.positional('intent', intentPositional)
		.option('remove-drains', {type: 'boolean', default: false, describe: 'Allow that accepted drains and shifts that are not in the file end'})
		.example('$0 apply intent.json --wait', 'Apply and wait until it is in force everywhere')
		.example('$0 apply intent.json --expect 7', 'Apply only if version 7 is still the accepted one')
		.example('$0 apply intent.json --dry-run', 'Check and show the changes only') as never,
	async handler(options) {
		await runCommand(options, async context => submitChange(context, options, async () => makeChange(context, options)));
	},
};
