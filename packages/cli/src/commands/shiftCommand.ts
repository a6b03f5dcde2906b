/**
 * `filbertwell shift`: sends a share of a service's traffic to a region, or ends such a shift.
 */
import type {Intent} from '@filbertwell/types/intent';
import type {CommandModule} from 'yargs';
import {ok} from 'neverthrow';
import {withChangeOptions} from '../changeOptions.js';
import type {GlobalOptions} from '../commandContext.js';
import {createFailure} from '../commandFailure.js';
import {editAcceptedIntent} from '../editAcceptedIntent.js';
import {runCommand} from '../runCommand.js';
import type {ChangeOptions} from '../submitChange.js';

type Options = GlobalOptions & ChangeOptions & {
	readonly service: string;
	readonly region: string;
	readonly share: number | undefined;
	readonly end: boolean;
};

const editShift = (intent: Intent, {service, region, share}: Options) => {
	const others = intent.shifts.filter(shift => shift.service !== service || shift.region !== region);
	if (share !== undefined) {
		return ok({...intent, shifts: [...others, {service, region, share}]});
	}

	return others.length < intent.shifts.length
		? ok({...intent, shifts: others})
		: createFailure('invalidInput', `no shift of service "${service}" to region "${region}" is accepted; list the shifts with: filbertwell status`);
};

/** Command definition of `shift`. */
export const shiftCommand: CommandModule<GlobalOptions, Options> = {
	command: 'shift <service> <region> [share]',
	describe: 'Send a share of a service\'s traffic to a region, under the shift cap',
	builder: command => withChangeOptions(command)
		.positional('service', {type: 'string', demandOption: true, describe: 'Name of the service'})
		.positional('region', {type: 'string', demandOption: true, describe: 'Name of the region'})
		.positional('share', {type: 'number', describe: 'Share of the traffic from 0 to 1'})
		.option('end', {type: 'boolean', default: false, describe: 'End the shift, so that traffic is routed by locality again'})
		.check(({share, end}) => {
			if ((share === undefined) !== end) {
				throw new Error('give either a share from 0 to 1 or --end');
			}

			if (share !== undefined && !(share >= 0 && share <= 1)) {
				throw new Error(`share ${share} is out of range; use a number from 0 to 1`);
			}

			return true;
		})
		.example('$0 shift orders southeast 0.5', 'Send half of the orders to a region')
		.example('$0 shift orders southeast --end', 'Route the orders by locality again'),
	async handler(options) {
		await runCommand(options, async context => editAcceptedIntent(context, options, intent => editShift(intent, options)));
	},
};
