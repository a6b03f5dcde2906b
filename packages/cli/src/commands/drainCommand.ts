/**
 * `filbertwell drain`: empties an endpoint, availability zone, region or entry.
 */
import {drain} from '@filbertwell/intent/buildIntent';
import type {Drain, Intent} from '@filbertwell/types/intent';
import type {CommandModule} from 'yargs';
import {ok} from 'neverthrow';
import {withChangeOptions} from '../changeOptions.js';
import type {GlobalOptions} from '../commandContext.js';
import {targetOfWord, targetWords, type TargetWord} from '../drainTarget.js';
import {editAccepted} from '../editAccepted.js';
import {runCommand} from '../runCommand.js';
import type {ChangeOptions} from '../submitChange.js';

type Options = GlobalOptions & ChangeOptions & {
	readonly target: TargetWord;
	readonly name: string;
	readonly reason: string;
	readonly immediate: boolean;
};

/** Adds a drain, in place of one of the same target. */
const addDrain = (intent: Intent, added: Drain): Intent => ({
	...intent,
	drains: [...intent.drains.filter(({target, name}) => target !== added.target || name !== added.name), added],
});

/** The command `drain`. */
export const drainCommand: CommandModule<GlobalOptions, Options> = {
	command: 'drain <target> <name>',
	describe: 'Empty an endpoint, availability zone, region or entry',
	builder: command => withChangeOptions(command)
		.positional('target', {
			type: 'string', choices: targetWords, demandOption: true, describe: 'What to empty',
		})
		.positional('name', {type: 'string', demandOption: true, describe: 'Its name'})
		.option('reason', {
			type: 'string', demandOption: true, requiresArg: true, describe: 'Why, for the history',
		})
		.option('immediate', {type: 'boolean', default: false, describe: 'Send no new work there within 3 s, instead of moving under the shift cap'})
		.example('$0 drain zone south-a --reason "power works"', 'Move traffic out of a zone under the cap')
		.example('$0 drain endpoint orders-03 --immediate --reason "bad disk"', 'Send an endpoint no new work'),
	async handler(options) {
		const {target, name, reason, immediate} = options;
		const added = drain(targetOfWord(target), name, reason, immediate ? 'immediate' : 'capped');
		await runCommand(options, async context => editAccepted(context, options, intent => ok(addDrain(intent, added))));
	},
};
