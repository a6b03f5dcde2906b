/**
 * `filbertwell drain`: moves traffic away from an endpoint, availability zone, region or entry.
 */
import {drain} from '@filbertwell/intent/buildIntent';
import type {Drain, Intent} from '@filbertwell/types/intent';
import type {CommandModule} from 'yargs';
import {ok} from 'neverthrow';
import {withChangeOptions} from '../changeOptions.js';
import type {GlobalOptions} from '../commandContext.js';
import {parseDrainTarget, drainTargetNames, type DrainTargetName} from '../drainTarget.js';
import {editAcceptedIntent} from '../editAcceptedIntent.js';
import {runCommand} from '../runCommand.js';
import type {ChangeOptions} from '../submitChange.js';

type Options = GlobalOptions & ChangeOptions & {
	readonly target: DrainTargetName;
	readonly name: string;
	readonly reason: string;
	readonly immediate: boolean;
};

/** Adds a drain and replaces an existing one with the same target. */
const addDrain = (intent: Intent, added: Drain): Intent => ({
	...intent,
	drains: [...intent.drains.filter(({target, name}) => target !== added.target || name !== added.name), added],
});

/** Command definition of `drain`. */
export const drainCommand: CommandModule<GlobalOptions, Options> = {
	command: 'drain <target> <name>',
	describe: 'Move traffic away from an endpoint, availability zone, region or entry',
	builder: command => withChangeOptions(command)
		.positional('target', {
			type: 'string', choices: drainTargetNames, demandOption: true, describe: 'Kind of target to drain',
		})
		.positional('name', {type: 'string', demandOption: true, describe: 'Name of the target'})
		.option('reason', {
			type: 'string', demandOption: true, requiresArg: true, describe: 'Reason, recorded in the configuration',
		})
		.option('immediate', {type: 'boolean', default: false, describe: 'Stop sending new requests there within 3 s, instead of moving traffic under the shift cap'})
		.example('$0 drain zone south-a --reason "power works"', 'Move traffic away from a zone under the shift cap')
		.example('$0 drain endpoint orders-03 --immediate --reason "bad disk"', 'Stop sending new requests to an endpoint'),
	async handler(options) {
		const {target, name, reason, immediate} = options;
		const added = drain(parseDrainTarget(target), name, reason, immediate ? 'immediate' : 'capped');
		await runCommand(options, async context => editAcceptedIntent(context, options, intent => ok(addDrain(intent, added))));
	},
};
