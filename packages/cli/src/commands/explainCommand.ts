/**
 * `filbertwell explain`: shows how a request would be routed, with the reason for each decision.
 */
import {isIP} from 'node:net';
import {err} from 'neverthrow';
import type {CommandModule} from 'yargs';
import {fetchExplanation, type ExplanationQuery} from '../adminClient.js';
import {requireAdminAddresses, fetchFromAny} from '../queryEntries.js';
import type {CommandContext, GlobalOptions} from '../commandContext.js';
import type {CommandOutcome} from '../commandFailure.js';
import {formatTable} from '../formatTable.js';
import {runCommand} from '../runCommand.js';

type Options = GlobalOptions & ExplanationQuery;

const showExplanation = async (context: CommandContext, {service, address, path, method}: Options): Promise<CommandOutcome> => {
	const addresses = requireAdminAddresses(context);
	if (addresses.isErr()) {
		return err(addresses.error);
	}

	const explanation = await fetchFromAny(addresses.value, async entryAddress => fetchExplanation(entryAddress, {
		service, address, path, method,
	}));
	return explanation.map(({entry, configurationVersion, steps}) => ({
		text: [
			`entry ${entry}, version ${configurationVersion}:`,
			formatTable(['DECISION', 'CHOICE', 'REASON'], steps.map(({decision, choice, reason}) => [decision, choice, reason]), context.palette),
		].join('\n'),
		data: {entry, configurationVersion, steps},
	}));
};

/** Command definition of `explain`. */
export const explainCommand: CommandModule<GlobalOptions, Options> = {
	command: 'explain',
	describe: 'Show how a request would be routed and why',
	builder: command => command
		.option('service', {
			type: 'string', demandOption: true, requiresArg: true, describe: 'Name of the service',
		})
		.option('address', {
			type: 'string', demandOption: true, requiresArg: true, describe: 'IP address of the caller',
		})
		.option('path', {
			type: 'string', default: '/', requiresArg: true, describe: 'Path below the service\'s path prefix',
		})
		.option('method', {
			type: 'string', default: 'GET', requiresArg: true, describe: 'HTTP method',
		})
		.check(({address, path}) => {
			if (isIP(address) === 0) {
				throw new Error(`--address ${address} is not an IP address; use one such as 127.1.0.5`);
			}

			if (!path.startsWith('/')) {
				throw new Error(`--path ${path} does not start with "/"; use a path such as /items/7`);
			}

			return true;
		})
		.example('$0 explain --service orders --address 127.1.0.5 --method POST', 'Explain the route of a POST request to orders from an address'),
	async handler(options) {
		await runCommand(options, async context => showExplanation(context, options));
	},
};
