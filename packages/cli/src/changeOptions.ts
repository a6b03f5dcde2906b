/**
 * Command-line options shared by all commands that change the configuration.
 */
import type {Argv} from 'yargs';
import type {GlobalOptions} from './commandContext.js';
import type {ChangeOptions} from './submitChange.js';

const defaultTimeoutSeconds = 30;

/**
 * Adds the shared options of configuration changes to a command.
 *
 * @param command - The command to extend.
 * @returns The command with the options and their validation.
 */
export const withChangeOptions = (command: Argv<GlobalOptions>): Argv<GlobalOptions & ChangeOptions> => command
	.option('wait', {type: 'boolean', default: false, describe: 'Wait until the change is in force at every live instance'})
	.option('timeout', {
		type: 'number', default: defaultTimeoutSeconds, describe: 'Maximum wait in seconds', requiresArg: true,
	})
	.option('expect', {type: 'number', describe: 'Version that the change is based on; the command ends with a conflict if another version is accepted', requiresArg: true})
	.option('change-id', {type: 'string', describe: 'Idempotency token of the change; repeated runs with the same token apply it only once', requiresArg: true})
	.option('minimum-version', {
		type: 'number', describe: 'Version that the new version must exceed; use it only after the table was restored from a backup', requiresArg: true,
	})
	.option('dry-run', {type: 'boolean', default: false, describe: 'Validate and show the changes without applying them'})
	.check(({timeout, expect, 'minimum-version': minimumVersion}) => {
		if (!(timeout >= 0)) {
			throw new Error(`--timeout ${String(timeout)} is not a valid duration; use a number of seconds, 0 or more`);
		}

		if (expect !== undefined && !(Number.isSafeInteger(expect) && expect >= 0)) {
			throw new Error(`--expect ${String(expect)} is not a valid version; use an integer, 0 or more`);
		}

		if (minimumVersion !== undefined && !(Number.isSafeInteger(minimumVersion) && minimumVersion >= 0)) {
			throw new Error(`--minimum-version ${String(minimumVersion)} is not a valid version; use an integer, 0 or more`);
		}

		return true;
	}) as unknown as Argv<GlobalOptions & ChangeOptions>;
