/**
 * `filbertwell rollback`: submits the intent of an earlier version as a new version.
 */
import type {CommandModule} from 'yargs';
import {withChangeOptions} from '../changeOptions.js';
import type {CommandContext, GlobalOptions} from '../commandContext.js';
import type {CommandOutcome} from '../commandFailure.js';
import {requireAccepted} from '../readAccepted.js';
import {runCommand} from '../runCommand.js';
import {submitChange, type ChangeOptions} from '../submitChange.js';

type Options = GlobalOptions & ChangeOptions & {
	readonly version: number;
};

const rollback = async (context: CommandContext, options: Options): Promise<CommandOutcome> => submitChange(context, options, async () => {
	const [base, earlier] = await Promise.all([requireAccepted(context), requireAccepted(context, options.version)]);
	return base.andThen(accepted => earlier.map(({intent}) => ({base: accepted, intent})));
});

/** Command definition of `rollback`. */
export const rollbackCommand: CommandModule<GlobalOptions, Options> = {
	command: 'rollback <version>',
	describe: 'Submit the intent of an earlier version as a new version',
	builder: command => withChangeOptions(command)
		.positional('version', {type: 'number', demandOption: true, describe: 'Version to roll back to'})
		.check(({version}) => {
			if (!(Number.isSafeInteger(version) && version >= 1)) {
				throw new Error(`version ${version} is not a valid version; use an integer, 1 or more, as listed by filbertwell history`);
			}

			return true;
		})
		.example('$0 rollback 7 --dry-run', 'Show the changes of a rollback to version 7')
		.example('$0 rollback 7 --wait', 'Roll back and wait until the change is in force'),
	async handler(options) {
		await runCommand(options, async context => rollback(context, options));
	},
};
