/**
 * `filbertwell status`: shows members, versions, drains and shifts in progress.
 */
import {readHead} from '@filbertwell/configuration/readConfiguration';
import {err, ok} from 'neverthrow';
import type {CommandModule} from 'yargs';
import {
	requireAdminAddresses, fetchStates, formatAdminError, mergeMembers,
} from '../queryEntries.js';
import type {CommandContext, GlobalOptions} from '../commandContext.js';
import {createFailure, type CommandOutcome} from '../commandFailure.js';
import {formatStatus, type DeploymentStatus} from '../formatStatus.js';
import {runCommand} from '../runCommand.js';
import {summarizeShifts} from '../shiftSummary.js';

const readStatus = async (context: CommandContext): Promise<CommandOutcome> => {
	const addresses = requireAdminAddresses(context);
	if (addresses.isErr()) {
		return err(addresses.error);
	}

	const [head, {states, errors}] = await Promise.all([readHead(context.platform), fetchStates(addresses.value)]);
	const unanswered = errors.map(error => formatAdminError(error));
	if (states.length === 0) {
		return createFailure('unreachable', 'no entry gave a usable answer; check [entries] adminAddresses in the settings and that the entries are running', unanswered);
	}

	// The entry with the highest configuration version has the current drains and caps.
	const newestState = states.toSorted((a, b) => (b.configuration?.version ?? 0) - (a.configuration?.version ?? 0))[0]!;
	const accepted = head.isOk() ? head.value : undefined;
	const status: DeploymentStatus = {
		accepted: accepted && {
			version: accepted.version, changeId: accepted.changeId, author: accepted.author, acceptedAt: accepted.acceptedAt,
		},
		platformProblem: head.isErr() ? head.error.detail : undefined,
		members: mergeMembers(states),
		drains: newestState.drains,
		shiftCaps: newestState.shiftCaps,
		shifts: summarizeShifts(states),
		unanswered,
	};
	return ok({text: formatStatus(status, context.palette), data: status});
};

/** Command definition of `status`. */
export const statusCommand: CommandModule<GlobalOptions, GlobalOptions> = {
	command: 'status',
	describe: 'Show members, versions, drains and shifts in progress',
	builder: command => command
		.example('$0 status', 'Show the status as tables')
		.example('$0 status --json', 'Print the status as one JSON document'),
	async handler(options) {
		await runCommand(options, readStatus);
	},
};
