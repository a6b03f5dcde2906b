/**
 * Reads accepted configurations for a command.
 */
import {readConfiguration, type ReadError} from '@filbertwell/configuration/readConfiguration';
import type {Configuration} from '@filbertwell/types/configuration';
import {err, ok, type Result} from 'neverthrow';
import type {CommandContext} from './commandContext.js';
import {failed, type CommandFailure} from './commandFailure.js';

/**
 * Says where the platform is and what went wrong there.
 *
 * @param context - Context of the command.
 * @param error - The failed call.
 * @returns A failure that tells the operator what to do.
 */
export const platformFailure = ({settings: {platform: {host, port}}}: CommandContext, error: ReadError) => {
	const detail = 'operation' in error ? `${error.operation}: ${error.detail}` : error.detail;
	return failed('unreachable', `platform ${host}:${port} gave no usable answer (${detail}); check [platform] in the settings and the platform's state, then run the command again`, [], error);
};

/**
 * Reads the accepted configuration.
 *
 * @param context - Context of the command.
 * @param version - Version to read; the accepted one if left out.
 * @returns The configuration, `undefined` where there is none, or why it can't be read.
 */
export const readAccepted = async (context: CommandContext, version?: number): Promise<Result<Configuration | undefined, CommandFailure>> => {
	const configuration = await readConfiguration(context.platform, version);
	return configuration.isOk() ? ok(configuration.value) : platformFailure(context, configuration.error);
};

/**
 * Reads the accepted configuration where there must be one.
 *
 * @param context - Context of the command.
 * @param version - Version to read; the accepted one if left out.
 * @returns The configuration, or why there is none.
 */
export const requireAccepted = async (context: CommandContext, version?: number): Promise<Result<Configuration, CommandFailure>> => {
	const accepted = await readAccepted(context, version);
	if (accepted.isErr()) {
		return err(accepted.error);
	}

	if (accepted.value !== undefined) {
		return ok(accepted.value);
	}

	return version === undefined
		? failed('invalidInput', 'no configuration is accepted yet; apply one with: filbertwell apply INTENT')
		: failed('invalidInput', `version ${version} does not exist or is no longer kept; list the versions with: filbertwell history`);
};
