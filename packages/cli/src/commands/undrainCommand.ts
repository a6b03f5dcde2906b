/**
 * `filbertwell undrain`: ends a drain; traffic returns under the shift cap.
 */
import type {DrainTarget, Intent} from '@filbertwell/types/intent';
import type {CommandModule} from 'yargs';
import {ok} from 'neverthrow';
import {withChangeOptions} from '../changeOptions.js';
import type {GlobalOptions} from '../commandContext.js';
import {failed} from '../commandFailure.js';
import {
	targetOfWord, targetWords, wordOfTarget, type TargetWord,
} from '../drainTarget.js';
import {editAccepted} from '../editAccepted.js';
import {runCommand} from '../runCommand.js';
import type {ChangeOptions} from '../submitChange.js';

type Options = GlobalOptions & ChangeOptions & {
	readonly target: TargetWord;
	readonly name: string;
};

const removeDrain = (intent: Intent, target: DrainTarget, name: string) => {
	const drains = intent.drains.filter(drain => drain.target !== target || drain.name !== name);
	if (drains.length < intent.drains.length) {
		return ok({...intent, drains});
	}

	const drained = intent.drains.map(drain => `${wordOfTarget(drain.target)} ${drain.name}`);
	return failed('invalidInput', `${wordOfTarget(target)} "${name}" is not drained; ${drained.length === 0 ? 'nothing is' : `drained are: ${drained.join(', ')}`}`);
};

/** The command `undrain`. */
export const undrainCommand: CommandModule<GlobalOptions, Options> = {
	command: 'undrain <target> <name>',
	describe: 'End a drain',
	builder: command => withChangeOptions(command)
		.positional('target', {
			type: 'string', choices: targetWords, demandOption: true, describe: 'What is drained',
		})
		.positional('name', {type: 'string', demandOption: true, describe: 'Its name'})
		.example('$0 undrain zone south-a --wait', 'Let traffic return to a zone'),
	async handler(options) {
		const {target, name} = options;
		await runCommand(options, async context => editAccepted(context, options, intent => removeDrain(intent, targetOfWord(target), name)));
	},
};
