/**
 * `filbertwell rollback`: accepts the intent of an earlier version as a new version.
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

/** The command `rollback`. */
export const rollbackCommand: CommandModule<GlobalOptions, Options> = {
	command: 'rollback <version>',
	describe: 'Accept the intent of an earlier version as a new version',
	builder: command => withChangeOptions(command)
		.positional('version', {type: 'number', demandOption: true, describe: 'Version to return to'})
		.check(({version}) => {
			if (!(Number.isSafeInteger(version) && version >= 1)) {
				throw new Error(`version ${version} is not a version; use an integer of 1 or more, as filbertwell history lists them`);
			}

			return true;
		})
		.example('$0 rollback 7 --dry-run', 'Show what a return to version 7 would change')
		.example('$0 rollback 7 --wait', 'Return to it and wait until it is in force'),
	async handler(options) {
		await runCommand(options, async context => rollback(context, options));
	},
};
