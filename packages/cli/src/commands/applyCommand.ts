/**
 * `filbertwell apply`: submits an intent file as the new accepted configuration.
 */
import {diffIntent} from '@filbertwell/intent/diffIntent';
import type {Intent} from '@filbertwell/types/intent';
import {err, ok, type Result} from 'neverthrow';
import type {CommandModule} from 'yargs';
import {withChangeOptions} from '../changeOptions.js';
import type {CommandContext, GlobalOptions} from '../commandContext.js';
import {createFailure, type CommandFailure} from '../commandFailure.js';
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

/**
 * Lists the drains and shifts that the new intent lacks. They are often set by other commands, so an
 * intent file that was written earlier does not contain them.
 */
const listRemovedDrainsAndShifts = (before: Intent, after: Intent) => diffIntent(before, after)
	.filter(({kind, path}) => kind === 'removed' && (path.startsWith('drains.') || path.startsWith('shifts.')));

const createChange = async (context: CommandContext, {intent: path, removeDrains}: Options): Promise<Result<Change, CommandFailure>> => {
	const intent = await readIntentFile(path);
	if (intent.isErr()) {
		return err(intent.error);
	}

	const base = await readAccepted(context);
	if (base.isErr()) {
		return err(base.error);
	}

	const removed = base.value === undefined ? [] : listRemovedDrainsAndShifts(base.value.intent, intent.value);
	return removed.length === 0 || removeDrains
		? ok({base: base.value, intent: intent.value})
		: createFailure(
			'conflict',
			`intent ${path} would remove drains or shifts of the accepted configuration; add them to the intent, end them with undrain or shift --end, or pass --remove-drains`,
			formatChanges(removed, context.palette),
			{changes: removed},
		);
};

/** Command definition of `apply`. */
export const applyCommand: CommandModule<GlobalOptions, Options> = {
	command: 'apply <intent>',
	describe: 'Submit an intent file as the new configuration',
	builder: command => withChangeOptions(command)
		.positional('intent', intentPositional)
		.option('remove-drains', {type: 'boolean', default: false, describe: 'End accepted drains and shifts that are not in the file'})
		.example('$0 apply intent.json --wait', 'Apply and wait until the change is in force at all instances')
		.example('$0 apply intent.json --expect 7', 'Apply only if version 7 is still the accepted version')
		.example('$0 apply intent.json --dry-run', 'Validate and show the changes only') as never,
	async handler(options) {
		await runCommand(options, async context => submitChange(context, options, async () => createChange(context, options)));
	},
};
