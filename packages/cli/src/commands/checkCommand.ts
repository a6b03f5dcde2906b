/**
 * `filbertwell check`: validates an intent file offline.
 */
import {err, ok} from 'neverthrow';
import type {CommandModule} from 'yargs';
import type {GlobalOptions} from '../commandContext.js';
import type {CommandOutcome} from '../commandFailure.js';
import {intentPositional} from '../intentPositional.js';
import {readIntentFile} from '../readIntentFile.js';
import {runLocalCommand} from '../runCommand.js';

type Options = GlobalOptions & {readonly intent: string};

const checkFile = async (path: string): Promise<CommandOutcome> => {
	const intent = await readIntentFile(path);
	if (intent.isErr()) {
		return err(intent.error);
	}

	const {deployment, regions, services, clientBlocks} = intent.value;
	const counts = {
		deployment,
		regions: regions.length,
		availabilityZones: regions.flatMap(region => region.availabilityZones).length,
		services: services.length,
		endpoints: services.flatMap(service => service.endpoints).length,
		clientBlocks: clientBlocks.length,
	};
	return ok({
		text: [
			`${deployment}: no problems`,
			`regions ${counts.regions}, availability zones ${counts.availabilityZones}, services ${counts.services}, endpoints ${counts.endpoints}, client blocks ${counts.clientBlocks}`,
		].join('\n'),
		data: counts,
	});
};

/** Command definition of `check`. */
export const checkCommand: CommandModule<GlobalOptions, Options> = {
	command: 'check <intent>',
	describe: 'Validate an intent file without connecting to the platform or entries',
	builder: command => command
		.positional('intent', intentPositional)
		.example('$0 check intent.json', 'Validate a file')
		.example('node examples/rodalar/lib/rodalar.js | $0 check -', 'Validate the output of a program'),
	async handler(options) {
		await runLocalCommand(options, async () => checkFile(options.intent));
	},
};
