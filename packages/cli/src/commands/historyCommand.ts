/**
 * `filbertwell history`: lists the accepted versions of the configuration.
 */
import {readHistory} from '@filbertwell/configuration/readConfiguration';
import {ok} from 'neverthrow';
import type {CommandModule} from 'yargs';
import type {CommandContext, GlobalOptions} from '../commandContext.js';
import type {CommandOutcome} from '../commandFailure.js';
import {formatTable} from '../formatTable.js';
import {createPlatformFailure} from '../readAccepted.js';
import {runCommand} from '../runCommand.js';

type Options = GlobalOptions & {readonly limit: number};

const defaultLimit = 20;
const maximumLimit = 1000;

const showHistory = async (context: CommandContext, limit: number): Promise<CommandOutcome> => {
	const history = await readHistory(context.platform, limit);
	if (history.isErr()) {
		return createPlatformFailure(context, history.error);
	}

	const rows = history.value.map(({version, acceptedAt, author, changeId}) => ({
		version, acceptedAt, author, changeId,
	}));
	const text = rows.length === 0
		? 'no configuration is accepted yet'
		: formatTable(['VERSION', 'ACCEPTED', 'AUTHOR', 'CHANGE'], rows.map(row => [String(row.version), row.acceptedAt, row.author, row.changeId]), context.palette);
	return ok({text, data: {versions: rows}});
};

/** Command definition of `history`. */
export const historyCommand: CommandModule<GlobalOptions, Options> = {
	command: 'history',
	describe: 'List accepted versions, newest first',
	builder: command => command
		.option('limit', {
			type: 'number', default: defaultLimit, requiresArg: true, describe: `Maximum number of versions to list, up to ${maximumLimit}`,
		})
		.check(({limit}) => {
			if (!(Number.isSafeInteger(limit) && limit >= 1 && limit <= maximumLimit)) {
				throw new Error(`--limit ${limit} is out of range; use an integer from 1 to ${maximumLimit}`);
			}

			return true;
		})
		.example('$0 history --limit 5', 'List the latest five versions'),
	async handler(options) {
		await runCommand(options, async context => showHistory(context, options.limit));
	},
};
