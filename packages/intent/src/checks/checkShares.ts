/**
 * Checks the names in region shares and shifts.
 */
import type {Intent} from '@filbertwell/types/intent';
import type {IntentProblem} from '../intentProblem.js';
import {findDuplicates, findUnknown, listValuesAt} from './crossFieldChecks.js';

/**
 * Finds region shares and shifts with unknown regions or services, and duplicates among them.
 *
 * @param intent - An intent that matches the schema.
 * @returns The problems; empty if there are none.
 */
export const checkShares = (intent: Intent): IntentProblem[] => {
	const {regionShares, shifts} = intent;
	const regionNames = intent.regions.map(region => region.name);
	const serviceNames = intent.services.map(service => service.name);
	const shareServices = listValuesAt('regionShares', regionShares, '.service', share => share.service).filter(({value}) => value !== '*');
	return [
		...findUnknown(listValuesAt('regionShares', regionShares, '.region', share => share.region), regionNames, 'region'),
		...findUnknown(shareServices, serviceNames, 'service'),
		...findDuplicates(listValuesAt('regionShares', regionShares, '', share => `${share.region} for ${share.service}`), 'region share'),
		...findUnknown(listValuesAt('shifts', shifts, '.region', shift => shift.region), regionNames, 'region'),
		...findUnknown(listValuesAt('shifts', shifts, '.service', shift => shift.service), serviceNames, 'service'),
		...findDuplicates(listValuesAt('shifts', shifts, '', shift => `${shift.service} to ${shift.region}`), 'shift'),
	];
};
