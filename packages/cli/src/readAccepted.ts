/**
 * Reads the accepted configuration, or an earlier version of it, for a command.
 */
import {readConfiguration, type ReadError} from '@filbertwell/configuration/readConfiguration';
import type {Configuration} from '@filbertwell/types/configuration';
import {err, ok, type Result} from 'neverthrow';
import type {CommandContext} from './commandContext.js';
import {createFailure, type CommandFailure} from './commandFailure.js';

/**
 * Creates the failure of a command that could not read from the platform.
 *
 * @param context - Context of the command.
 * @param error - Error of the failed call.
 * @returns A failure that names the platform's address, the error and how to proceed.
 */
export const createPlatformFailure = ({settings: {platform: {host, port}}}: CommandContext, error: ReadError) => {
	const detail = 'operation' in error ? `${error.operation}: ${error.detail}` : error.detail;
	return createFailure('unreachable', `platform ${host}:${port} gave no usable answer (${detail}); check [platform] in the settings and the platform's state, then run the command again`, [], error);
};

/**
 * Reads a configuration.
 *
 * @param context - Context of the command.
 * @param version - Version to read; the accepted one by default.
 * @returns The configuration, `undefined` if it does not exist, or a failure if the platform is unreachable.
 */
export const readAccepted = async (context: CommandContext, version?: number): Promise<Result<Configuration | undefined, CommandFailure>> => {
	const configuration = await readConfiguration(context.platform, version);
	return configuration.isOk() ? ok(configuration.value) : createPlatformFailure(context, configuration.error);
};

/**
 * Reads a configuration that must exist.
 *
 * @param context - Context of the command.
 * @param version - Version to read; the accepted one by default.
 * @returns The configuration, or a failure if it does not exist or the platform is unreachable.
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
		? createFailure('invalidInput', 'no configuration is accepted yet; apply one with: filbertwell apply INTENT')
		: createFailure('invalidInput', `version ${version} does not exist or is no longer kept; list the versions with: filbertwell history`);
};
