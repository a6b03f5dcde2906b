/**
 * Options that all commands share that change the configuration.
 */
import type {Argv} from 'yargs';
import type {GlobalOptions} from './commandContext.js';
import type {ChangeOptions} from './submitChange.js';

const defaultTimeoutSeconds = 30;

/**
 * Declares the options of a command that changes the configuration.
 *
 * @param command - The command.
 * @returns The command with the options.
 */
export const withChangeOptions = (command: Argv<GlobalOptions>): Argv<GlobalOptions & ChangeOptions> => command
	.option('wait', {type: 'boolean', default: false, describe: 'Return once every live instance has the change in force'})
	.option('timeout', {
		type: 'number', default: defaultTimeoutSeconds, describe: 'Longest wait in seconds', requiresArg: true,
	})
	.option('expect', {type: 'number', describe: 'Version that the change was made from; refused as a conflict where another is accepted', requiresArg: true})
	.option('change-id', {type: 'string', describe: 'Token of the change; a run with the same token never applies it twice', requiresArg: true})
	.option('minimum-version', {
		type: 'number', describe: 'Version that the new one must pass; only after the table was restored from a backup', requiresArg: true,
	})
	.option('dry-run', {type: 'boolean', default: false, describe: 'Check and show the changes, change nothing'})
	.check(({timeout, expect, 'minimum-version': minimumVersion}) => {
		if (!(timeout >= 0)) {
			throw new Error(`--timeout ${String(timeout)} is not a time; use a number of seconds of 0 or more`);
		}

		if (expect !== undefined && !(Number.isSafeInteger(expect) && expect >= 0)) {
			throw new Error(`--expect ${String(expect)} is not a version; use an integer of 0 or more`);
		}

		if (minimumVersion !== undefined && !(Number.isSafeInteger(minimumVersion) && minimumVersion >= 0)) {
			throw new Error(`--minimum-version ${String(minimumVersion)} is not a version; use an integer of 0 or more`);
		}

		return true;
	}) as unknown as Argv<GlobalOptions & ChangeOptions>;
