/**
 * `filbertwell undrain`: ends a drain, so that traffic returns under the shift cap.
 */
import type {DrainTarget, Intent} from '@filbertwell/types/intent';
import type {CommandModule} from 'yargs';
import {ok} from 'neverthrow';
import {withChangeOptions} from '../changeOptions.js';
import type {GlobalOptions} from '../commandContext.js';
import {createFailure} from '../commandFailure.js';
import {
	parseDrainTarget, drainTargetNames, formatDrainTarget, type DrainTargetName,
} from '../drainTarget.js';
import {editAcceptedIntent} from '../editAcceptedIntent.js';
import {runCommand} from '../runCommand.js';
import type {ChangeOptions} from '../submitChange.js';

type Options = GlobalOptions & ChangeOptions & {
	readonly target: DrainTargetName;
	readonly name: string;
};

const removeDrain = (intent: Intent, target: DrainTarget, name: string) => {
	const drains = intent.drains.filter(drain => drain.target !== target || drain.name !== name);
	if (drains.length < intent.drains.length) {
		return ok({...intent, drains});
	}

	const drainedNames = intent.drains.map(drain => `${formatDrainTarget(drain.target)} ${drain.name}`);
	return createFailure('invalidInput', `${formatDrainTarget(target)} "${name}" is not drained; ${drainedNames.length === 0 ? 'there are no drains' : `drained targets: ${drainedNames.join(', ')}`}`);
};

/** Command definition of `undrain`. */
export const undrainCommand: CommandModule<GlobalOptions, Options> = {
	command: 'undrain <target> <name>',
	describe: 'End a drain',
	builder: command => withChangeOptions(command)
		.positional('target', {
			type: 'string', choices: drainTargetNames, demandOption: true, describe: 'Kind of the drained target',
		})
		.positional('name', {type: 'string', demandOption: true, describe: 'Name of the target'})
		.example('$0 undrain zone south-a --wait', 'Let traffic return to a zone'),
	async handler(options) {
		const {target, name} = options;
		await runCommand(options, async context => editAcceptedIntent(context, options, intent => removeDrain(intent, parseDrainTarget(target), name)));
	},
};
