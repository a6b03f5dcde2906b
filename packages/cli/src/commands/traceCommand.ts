/**
 * `filbertwell trace`: shows the steps of one request across instances, reconstructed from their logs.
 */
import process from 'node:process';
import {err, ok} from 'neverthrow';
import type {CommandModule} from 'yargs';
import type {GlobalOptions} from '../commandContext.js';
import {type CommandOutcome, createFailure} from '../commandFailure.js';
import {createPalette, formatTable} from '../formatTable.js';
import {readLogFiles} from '../readLogFiles.js';
import {traceRequest} from '../requestTrace.js';
import {runLocalCommand} from '../runCommand.js';

type Options = GlobalOptions & {
	readonly id: string;
	readonly files?: readonly string[];
};

const showTrace = async ({id, files, color}: Options): Promise<CommandOutcome> => {
	const entries = await readLogFiles(files ?? []);
	if (entries.isErr()) {
		return err(entries.error);
	}

	const {steps, dropped} = traceRequest(entries.value, id);
	if (steps.length === 0) {
		return createFailure(
			'invalidInput',
			`no line names request ${id} among ${entries.value.length} log lines; check the id, or add the logs of the other instances (instances drop lines above their limit per second)`,
		);
	}

	const rows = steps.map(({source, offsetMs, name, detail, kind}) => [`${offsetMs} ms`, source, kind === 'own' ? name : `(${name})`, detail]);
	const lines = [formatTable(['TIME', 'INSTANCE', 'EVENT', 'DETAIL'], rows, createPalette(color && process.stdout.isTTY))];
	if (dropped > 0) {
		lines.push(`${dropped} lines were dropped during the request by the rate limit of the logs`);
	}

	return ok({text: lines.join('\n'), data: {request: id, steps, dropped}});
};

/** Command definition of `trace`. */
export const traceCommand: CommandModule<GlobalOptions, Options> = {
	command: 'trace <id> [files..]',
	describe: 'Show the steps of one request across instances, from their logs',
	builder: command => command
		.positional('id', {type: 'string', demandOption: true, describe: 'Id of the request'})
		.positional('files', {type: 'string', array: true, describe: 'Log files; standard input if none are given'})
		.example('$0 trace a495ac693460b15d *.log', 'Find out why a request failed'),
	async handler(options) {
		await runLocalCommand(options, async () => showTrace(options));
	},
};
